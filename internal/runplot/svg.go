package runplot

import (
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/pkg/errors"
)

//go:embed run.svg.tmpl
var pictureText string

var picture = template.Must(template.New("run").Parse(pictureText))

// Geometry of the picture in SVG units.
const (
	left, right = 60.0, 940.0
	// rowHeight is the height of a row of bars, and rowStep the distance between the
	// base lines of two rows.
	rowHeight, rowStep = 80.0, 104.0
	top                = 150.0
	// Labels of successive marks are placed labelStep apart on labelRows lines, so
	// that those of marks close together don't overlap.
	labelStep, labelRows = 11.0, 10
)

// row is one row of bars, which shows one kind of count.
type row struct {
	Name, Class string
	Y           float64 // of the base line
	Max         float64 // the largest count of a span
	Bars        []bar
}

type bar struct{ X, Y, Width, Height float64 }

type line struct {
	X, LabelY float64
	Label     string
}

type tick struct {
	X    float64
	Text string
}

type view struct {
	Height, Top, Bottom float64
	Rows                []row
	Lines               []line
	Ticks               []tick
}

// rows are the kinds of counts that are drawn, from top to bottom.
var rows = []struct {
	name, class string
	of          func(Bin) float64
}{
	{"served (metrics)", "good", func(b Bin) float64 { return b.Served }},
	{"refused (log)", "bad", func(b Bin) float64 { return float64(b.Refused) }},
	{"late (log)", "late", func(b Bin) float64 { return float64(b.Late) }},
	{"proxies stopped", "fault", func(b Bin) float64 { return float64(b.Stopped) }},
	{"proxies started", "fault", func(b Bin) float64 { return float64(b.Started) }},
	{"proxies that lost the store", "fault", func(b Bin) float64 { return float64(b.Lost) }},
	{"proxies cut off", "fault", func(b Bin) float64 { return float64(b.Isolated) }},
}

// WriteSVG writes the picture of r as SVG.
func (r *Run) WriteSVG(w io.Writer) error {
	return errors.Wrap(picture.Execute(w, r.view()), "runplot: write the picture")
}

func (r *Run) view() view {
	v := view{Top: top}
	base := top
	for _, kind := range rows {
		if kind.class == "good" && !r.HasMetrics {
			continue
		}
		base += rowStep
		v.Rows = append(v.Rows, r.row(kind.name, kind.class, base, kind.of))
	}
	v.Bottom, v.Height = base, base+40
	for i, m := range r.Marks {
		v.Lines = append(v.Lines, line{X: r.x(m.At), Label: m.Label, LabelY: 30 + labelStep*float64(i%labelRows)})
	}
	for i := 0; i <= len(r.Bins); i += max(1, len(r.Bins)/12) {
		at := r.From.Add(time.Duration(i) * r.Width)
		v.Ticks = append(v.Ticks, tick{X: r.x(at), Text: at.Format("15:04:05")})
	}
	return v
}

func (r *Run) x(at time.Time) float64 {
	total := time.Duration(len(r.Bins)) * r.Width
	return left + (right-left)*float64(at.Sub(r.From))/float64(total)
}

func (r *Run) row(name, class string, base float64, of func(Bin) float64) row {
	out := row{Name: name, Class: class, Y: base}
	for _, b := range r.Bins {
		out.Max = max(out.Max, of(b))
	}
	if out.Max == 0 {
		return out
	}
	width := (right - left) / float64(len(r.Bins))
	for i, b := range r.Bins {
		if n := of(b); n > 0 {
			h := rowHeight * n / out.Max
			out.Bars = append(out.Bars, bar{X: left + width*float64(i), Y: base - h, Width: max(width-1, 0.5), Height: h})
		}
	}
	return out
}

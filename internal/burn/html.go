package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"
)

//go:embed page.html.tmpl
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// Geometry of a plot, in SVG units, and range of its axis.
const (
	plotWidth  = 720
	plotHeight = 190
	plotLeft   = 56
	plotRight  = 12
	plotTop    = 12
	plotBottom = 28
	// minBurn and maxBurn are the burn rates at the ends of the logarithmic axis.
	minBurn = 0.01
	maxBurn = 1000
)

// axisBurns are the burn rates at which grid lines are drawn.
var axisBurns = []float64{minBurn, 0.1, TicketBurn, 10, 100, maxBurn}

// pageView is the data of the page template.
type pageView struct {
	At       string
	Sources  int
	Services []serviceView
	Gaps     []gapView
}

type serviceView struct {
	Name     string
	Promises []promiseView
	Causes   []causeView
}

type promiseView struct {
	Name, Target, Alarm, Class, Left string
	Short, Long, Counts              string
	Plot                             plotView
}

type causeView struct {
	Code              int
	Name, Text, Count string
}

type gapView struct{ Group, Count, Mean string }

// plotView is one plot; coordinates are in SVG units.
type plotView struct {
	Label         string
	Width, Height int
	Left, Right   int
	Top, Bottom   int
	LabelX        int
	TimeY         int
	Grid          []gridLine
	Line          string
	Dots          []dot
	Start, End    string
}

type gridLine struct {
	Y, TextY float64
	Text     string
	Class    string
}

type dot struct {
	X, Y  float64
	Title string
}

// WriteHTML writes r as a self-contained page that refers to no other files.
func (r Report) WriteHTML(w io.Writer) error {
	return errors.Wrap(page.Execute(w, r.view()), "write page")
}

func (r Report) view() pageView {
	v := pageView{At: r.At.UTC().Format("2006-01-02 15:04:05 UTC"), Sources: r.Sources}
	for _, s := range r.Services {
		v.Services = append(v.Services, s.view())
	}
	for _, g := range r.WriteGaps {
		v.Gaps = append(v.Gaps, gapView{Group: string(g.Group), Count: fmt.Sprintf("%.0f", g.Count), Mean: formatDuration(g.Mean)})
	}
	return v
}

func (s Service) view() serviceView {
	v := serviceView{Name: string(s.Service)}
	for _, p := range s.Promises {
		v.Promises = append(v.Promises, p.view())
	}
	for _, c := range s.Causes {
		v.Causes = append(v.Causes, causeView{Code: int(c.Code), Name: c.Name, Text: c.Text + c.note(), Count: fmt.Sprintf("%.0f", c.Count)})
	}
	return v
}

func (p Promise) view() promiseView {
	return promiseView{
		Name:   p.Promise,
		Target: p.target(),
		Alarm:  string(p.Alarm),
		Class:  strings.ReplaceAll(string(p.Alarm), " ", "-"),
		Left:   p.left(),
		Short:  p.Short.text(),
		Long:   p.Long.text(),
		Counts: fmt.Sprintf("%.0f of %.0f", p.Long.Bad, p.Long.Total),
		Plot:   p.plot(),
	}
}

func (p Promise) plot() plotView {
	v := plotView{
		Label: fmt.Sprintf("burn rate of %s over time", p.Promise),
		Width: plotWidth, Height: plotHeight,
		Left: plotLeft, Right: plotWidth - plotRight,
		Top: plotTop, Bottom: plotHeight - plotBottom,
		LabelX: plotLeft - 6, TimeY: plotHeight - 8,
	}
	for _, burn := range axisBurns {
		v.Grid = append(v.Grid, gridLineAt(burn))
	}
	if len(p.Points) == 0 {
		return v
	}
	first, last := p.Points[0].At, p.Points[len(p.Points)-1].At
	v.Start, v.End = clock(first), clock(last)
	v.Line, v.Dots = polyline(p.Points, first, last)
	return v
}

func gridLineAt(burn float64) gridLine {
	const textOffset = 4 // centres the text vertically on the line
	g := gridLine{Y: plotY(burn), TextY: plotY(burn) + textOffset, Text: fmt.Sprintf("%g", burn), Class: "grid"}
	switch burn {
	case TicketBurn:
		g.Class = "limit"
	case minBurn:
		g.Text = "≤" + g.Text
	case maxBurn:
		g.Text = "≥" + g.Text
	}
	return g
}

// polyline returns the points as an SVG point list and as dots with a title.
// Points without requests are left out.
func polyline(points []Point, first, last time.Time) (string, []dot) {
	var line strings.Builder
	var dots []dot
	for _, p := range points {
		if p.Total == 0 {
			continue
		}
		d := dot{X: plotX(p.At, first, last), Y: plotY(p.Burn)}
		d.Title = fmt.Sprintf("%s: burn %.2f, %.0f requests", clock(p.At), p.Burn, p.Total)
		fmt.Fprintf(&line, "%.1f,%.1f ", d.X, d.Y)
		dots = append(dots, d)
	}
	return strings.TrimSpace(line.String()), dots
}

func clock(t time.Time) string { return t.UTC().Format(time.TimeOnly) + " UTC" }

func plotX(at, first, last time.Time) float64 {
	const width = plotWidth - plotLeft - plotRight
	span := last.Sub(first)
	if span == 0 {
		return plotLeft + width/2
	}
	return plotLeft + width*float64(at.Sub(first))/float64(span)
}

// plotY returns the position of a burn rate on the logarithmic axis. Rates outside
// its range are drawn at the nearer end.
func plotY(burn float64) float64 {
	const height = plotHeight - plotTop - plotBottom
	clamped := math.Min(math.Max(burn, minBurn), maxBurn)
	share := math.Log(clamped/minBurn) / math.Log(maxBurn/minBurn)
	return plotTop + height*(1-share)
}

package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/pkg/errors"
)

// WriteJSON writes r as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(r), "write report")
}

// WriteText writes r as plain text.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "service-level burn at %s, %d proxies\n", r.At.UTC().Format(time.RFC3339), r.Sources)
	for _, s := range r.Services {
		writeService(&b, s)
	}
	writeGapLines(&b, r.WriteGaps)
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write report")
}

func writeService(w io.Writer, s Service) {
	fmt.Fprintf(w, "\n%s\n", s.Service)
	const padding = 2
	tab := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(tab, "  PROMISE\tOBJECTIVE\tALARM\tBUDGET LEFT\tBURN (SHORT)\tBURN (LONG)\tBAD OF TOTAL (LONG)")
	for _, p := range s.Promises {
		fmt.Fprintf(tab, "  %s\t%s\t%s\t%s\t%s\t%s\t%.0f of %.0f\n", p.Promise, p.target(), p.Alarm, p.left(),
			p.Short.text(), p.Long.text(), p.Long.Bad, p.Long.Total)
	}
	_ = tab.Flush()
	for _, c := range s.Causes {
		fmt.Fprintf(w, "  cause %d %s: %.0f requests%s. %s\n", c.Code, c.Name, c.Count, c.note(), c.Text)
	}
}

func writeGapLines(w io.Writer, gaps []WriteGap) {
	if len(gaps) == 0 {
		return
	}
	fmt.Fprintln(w, "\nwrite gaps in the long window")
	for _, g := range gaps {
		fmt.Fprintf(w, "  %s: %.0f observed, mean %s\n", g.Group, g.Count, formatDuration(g.Mean))
	}
}

func (c Cause) note() string {
	if c.CallerError {
		return " (the callers' own mistake, not counted)"
	}
	return ""
}

// target formats the objective, such as "99.9%" or "99% within 50ms".
func (p Promise) target() string {
	text := fmt.Sprintf("%.4g%%", p.Target*100)
	if p.Threshold > 0 {
		text += " within " + time.Duration(p.Threshold).String()
	}
	return text
}

// left formats the share of the error budget that is left.
func (p Promise) left() string {
	if p.Alarm == AlarmNoData {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", p.BudgetLeft*100)
}

// text formats the burn rate and the time that it covers.
func (w Window) text() string {
	if w.Total == 0 {
		return "no requests in " + formatDuration(w.Covered)
	}
	return fmt.Sprintf("%.2f in %s", w.Burn, formatDuration(w.Covered))
}

// formatDuration formats a duration without trailing zero units, such as "5m" or "1h30m".
func formatDuration(d config.Duration) string {
	text := time.Duration(d).Round(time.Millisecond).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

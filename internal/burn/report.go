package burn

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Burn rates that raise an alarm when both windows reach them.
const (
	// PageBurn uses up the error budget of a month in about two days.
	PageBurn = 14.4
	// TicketBurn uses up the error budget exactly as fast as the objective allows;
	// any higher rate exhausts it early.
	TicketBurn = 1
)

// Alarm is the urgency of a burn rate.
type Alarm string

// Alarms.
const (
	// AlarmNone means that the error budget lasts.
	AlarmNone Alarm = "ok"
	// AlarmTicket means that both windows have a burn rate of TicketBurn or more.
	AlarmTicket Alarm = "ticket"
	// AlarmPage means that both windows have a burn rate of PageBurn or more.
	AlarmPage Alarm = "page"
	// AlarmNoData means that the long window has no requests.
	AlarmNoData Alarm = "no data"
)

// Options configure a report.
type Options struct {
	// Short and Long are the lengths of the two windows.
	Short, Long time.Duration
}

// Report holds the burn rates of all services.
type Report struct {
	// At is the time of the newest sample.
	At time.Time `json:"at"`
	// Sources is the number of proxies that were sampled.
	Sources int `json:"sources"`
	// Services are in the order of the configuration.
	Services []Service `json:"services"`
	// WriteGaps lists the groups whose writes were interrupted in the long window.
	WriteGaps []WriteGap `json:"writeGaps"`
}

// Service holds the burn rates of one service.
type Service struct {
	// Service is the name of the service.
	Service tables.ServiceID `json:"service"`
	// Promises are the burn rates of its objectives.
	Promises []Promise `json:"promises"`
	// Causes are the result codes of the long window, the most frequent first.
	Causes []Cause `json:"causes"`
}

// Promise is an objective with its burn rates.
type Promise struct {
	config.Objective
	// Alarm is the urgency.
	Alarm Alarm `json:"alarm"`
	// BudgetLeft is the share of the long window's error budget that is left; it is
	// negative if more than the budget was used.
	BudgetLeft float64 `json:"budgetLeft"`
	// Short is the short window.
	Short Window `json:"short"`
	// Long is the long window.
	Long Window `json:"long"`
	// Points are the burn rates between successive samples of the long window.
	Points []Point `json:"points"`
}

// Point is the burn rate between two samples.
type Point struct {
	// At is the time of the later sample.
	At time.Time `json:"at"`
	// Total is the number of requests that the objective covers.
	Total float64 `json:"total"`
	// Burn is the burn rate.
	Burn float64 `json:"burn"`
}

// WriteGap summarizes the interruptions of one group's writes.
type WriteGap struct {
	// Group is the id of the group.
	Group tables.GroupID `json:"group"`
	// Count is the number of interruptions, summed over the proxies. An interruption
	// that several proxies observed counts once for each.
	Count float64 `json:"count"`
	// Mean is the mean length of the interruptions.
	Mean config.Duration `json:"mean"`
}

// Make computes the report for the objectives of doc. It needs samples from at
// least two times.
func Make(h *History, doc config.Document, opts Options) (Report, error) {
	times := h.Times()
	if len(times) < 2 {
		return Report{}, errors.Errorf("%d samples; the increase of a counter needs samples of two times", len(times))
	}
	b := builder{history: h, times: times, opts: opts}
	long := b.window(opts.Long)
	r := Report{At: b.end(), Sources: len(h.sources), WriteGaps: writeGaps(long, doc)}
	for _, s := range doc.Services {
		service := Service{Service: s.Name, Causes: long.causes(s.Name)}
		for _, o := range s.Objectives {
			service.Promises = append(service.Promises, b.promise(s.Name, o))
		}
		r.Services = append(r.Services, service)
	}
	return r, nil
}

// builder computes one report.
type builder struct {
	history *History
	times   []time.Time
	opts    Options
}

func (b builder) end() time.Time { return b.times[len(b.times)-1] }

// start returns the time of the newest sample that is at least length before the
// end. If there is none it returns the time of the first sample.
func (b builder) start(length time.Duration) time.Time {
	wanted := b.end().Add(-length)
	start := b.times[0]
	for _, t := range b.times {
		if !t.After(wanted) {
			start = t
		}
	}
	return start
}

func (b builder) window(length time.Duration) increase {
	return b.history.between(b.start(length), b.end())
}

func (b builder) promise(service tables.ServiceID, o config.Objective) Promise {
	p := Promise{
		Objective: o,
		Short:     b.measure(service, o, b.opts.Short),
		Long:      b.measure(service, o, b.opts.Long),
		Points:    b.points(service, o),
	}
	p.BudgetLeft = 1 - p.Long.Burn
	p.Alarm = alarm(p.Short, p.Long)
	return p
}

func (b builder) measure(service tables.ServiceID, o config.Objective, length time.Duration) Window {
	inc := b.window(length)
	out := inc.outcome(service, o)
	return Window{
		Length:  config.Duration(length),
		Covered: config.Duration(min(inc.to.Sub(inc.from), length)),
		Total:   out.total,
		Bad:     out.bad,
		Burn:    out.burn(o.Target),
	}
}

func (b builder) points(service tables.ServiceID, o config.Objective) []Point {
	start := b.start(b.opts.Long)
	var points []Point
	for i := 1; i < len(b.times); i++ {
		if b.times[i-1].Before(start) {
			continue
		}
		out := b.history.between(b.times[i-1], b.times[i]).outcome(service, o)
		points = append(points, Point{At: b.times[i], Total: out.total, Burn: out.burn(o.Target)})
	}
	return points
}

func alarm(short, long Window) Alarm {
	lower := min(short.Burn, long.Burn)
	switch {
	case long.Total == 0:
		return AlarmNoData
	case lower >= PageBurn:
		return AlarmPage
	case lower >= TicketBurn:
		return AlarmTicket
	default:
		return AlarmNone
	}
}

func writeGaps(inc increase, doc config.Document) []WriteGap {
	var out []WriteGap
	for _, g := range doc.Groups {
		of := func(s series) bool { return s.group == g.ID }
		n := inc.sum(metrics.WriteGapSeconds+suffixCount, of)
		if n == 0 {
			continue
		}
		mean := inc.sum(metrics.WriteGapSeconds+suffixSum, of) / n
		out = append(out, WriteGap{Group: g.ID, Count: n, Mean: config.Duration(mean * float64(time.Second))})
	}
	slices.SortStableFunc(out, func(a, b WriteGap) int { return int(b.Mean - a.Mean) })
	return out
}

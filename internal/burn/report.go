package burn

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Burn rates, in both windows, from which an alarm is raised.
const (
	// PageBurn uses up a month's budget in about two days.
	PageBurn = 14.4
	// TicketBurn uses up the budget faster than the objective allows.
	TicketBurn = 1
)

// Alarm says how urgent a promise is.
type Alarm string

// Alarms.
const (
	// AlarmNone means that the budget lasts.
	AlarmNone Alarm = "ok"
	// AlarmTicket means that both windows burn at TicketBurn or more.
	AlarmTicket Alarm = "ticket"
	// AlarmPage means that both windows burn at PageBurn or more.
	AlarmPage Alarm = "page"
	// AlarmNoData means that no request was counted.
	AlarmNoData Alarm = "no data"
)

// Options configure a report.
type Options struct {
	// Short and Long are the lengths of the two windows.
	Short, Long time.Duration
}

// Report is the burn of all services.
type Report struct {
	// At is the time of the newest sample.
	At time.Time `json:"at"`
	// Sources is the number of proxies that were sampled.
	Sources int `json:"sources"`
	// Services are in the order of the configuration.
	Services []Service `json:"services"`
	// WriteGaps are the groups whose writes were interrupted in the long window.
	WriteGaps []WriteGap `json:"writeGaps"`
}

// Service is the burn of one service.
type Service struct {
	// Service names the service.
	Service tables.ServiceID `json:"service"`
	// Promises are its objectives.
	Promises []Promise `json:"promises"`
	// Causes are the result codes of the long window, the most frequent first.
	Causes []Cause `json:"causes"`
}

// Promise is the burn of one objective.
type Promise struct {
	config.Objective
	// Alarm says how urgent it is.
	Alarm Alarm `json:"alarm"`
	// BudgetLeft is the share of the long window's budget that is left; below 0 it is overdrawn.
	BudgetLeft float64 `json:"budgetLeft"`
	// Short is the short window.
	Short Window `json:"short"`
	// Long is the long window.
	Long Window `json:"long"`
	// Points are the burn between each two samples of the long window.
	Points []Point `json:"points"`
}

// Point is the burn between two samples.
type Point struct {
	// At is the time of the later sample.
	At time.Time `json:"at"`
	// Total is the number of requests that the promise covers.
	Total float64 `json:"total"`
	// Burn is the burn rate.
	Burn float64 `json:"burn"`
}

// WriteGap sums up the interruptions of one group's writes.
type WriteGap struct {
	// Group names the group.
	Group tables.GroupID `json:"group"`
	// Count is the number of interruptions, summed over the proxies that saw one.
	Count float64 `json:"count"`
	// Mean is their mean length.
	Mean config.Duration `json:"mean"`
}

// Make works out the report for the objectives of doc. It needs samples of at
// least two times.
func Make(h *History, doc config.Document, opts Options) (Report, error) {
	times := h.Times()
	if len(times) < 2 {
		return Report{}, errors.Errorf("%d samples; the increase of a counter needs samples of two times", len(times))
	}
	m := maker{history: h, times: times, opts: opts}
	long := m.window(opts.Long)
	r := Report{At: m.end(), Sources: len(h.sources), WriteGaps: writeGaps(long, doc)}
	for _, s := range doc.Services {
		service := Service{Service: s.Name, Causes: long.causes(s.Name)}
		for _, o := range s.Objectives {
			service.Promises = append(service.Promises, m.promise(s.Name, o))
		}
		r.Services = append(r.Services, service)
	}
	return r, nil
}

// maker works out one report.
type maker struct {
	history *History
	times   []time.Time
	opts    Options
}

func (m maker) end() time.Time { return m.times[len(m.times)-1] }

// start returns the time of the newest sample that is at least length before
// the end, or of the first sample.
func (m maker) start(length time.Duration) time.Time {
	wanted := m.end().Add(-length)
	start := m.times[0]
	for _, t := range m.times {
		if !t.After(wanted) {
			start = t
		}
	}
	return start
}

func (m maker) window(length time.Duration) increase {
	return m.history.between(m.start(length), m.end())
}

func (m maker) promise(service tables.ServiceID, o config.Objective) Promise {
	p := Promise{
		Objective: o,
		Short:     m.measure(service, o, m.opts.Short),
		Long:      m.measure(service, o, m.opts.Long),
		Points:    m.points(service, o),
	}
	p.BudgetLeft = 1 - p.Long.Burn
	p.Alarm = alarm(p.Short, p.Long)
	return p
}

func (m maker) measure(service tables.ServiceID, o config.Objective, length time.Duration) Window {
	inc := m.window(length)
	out := inc.outcome(service, o)
	return Window{
		Length:  config.Duration(length),
		Covered: config.Duration(min(inc.to.Sub(inc.from), length)),
		Total:   out.total,
		Bad:     out.bad,
		Burn:    out.burn(o.Target),
	}
}

func (m maker) points(service tables.ServiceID, o config.Objective) []Point {
	start := m.start(m.opts.Long)
	var points []Point
	for i := 1; i < len(m.times); i++ {
		if m.times[i-1].Before(start) {
			continue
		}
		out := m.history.between(m.times[i-1], m.times[i]).outcome(service, o)
		points = append(points, Point{At: m.times[i], Total: out.total, Burn: out.burn(o.Target)})
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

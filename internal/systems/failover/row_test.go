package failover

import (
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// rowPlatform answers requests for one row at once and counts them.
type rowPlatform struct {
	down          bool
	row           tables.StoredGroupRow
	reads, writes int
}

func (p *rowPlatform) answer(a action.Action) event.Event {
	switch a := a.(type) {
	case action.ReadGroupRow:
		p.reads++
		if p.down {
			return event.GroupRowRead{Group: a.Group, Outcome: event.OutcomeFailed}
		}
		return event.GroupRowRead{Group: a.Group, Row: p.row.Row, Version: p.row.Version}
	case action.WriteGroupRow:
		p.writes++
		if a.Version != p.row.Version {
			return event.GroupRowWritten{Group: a.Group, TxnID: a.TxnID, Outcome: event.OutcomeConflict}
		}
		p.row = tables.StoredGroupRow{Row: a.Row, Version: a.Version + 1}
		return event.GroupRowWritten{Group: a.Group, TxnID: a.TxnID}
	}
	return nil
}

// run ticks from one time to another and answers what the system asks.
func (p *rowPlatform) run(s *System, w *tables.World, from, to time.Duration) {
	for t := from; t < to; t += 100 * time.Millisecond {
		for _, a := range s.Tick(tables.Time(t), w) {
			if e := p.answer(a); e != nil {
				s.Handle(tables.Time(t), w, e)
			}
		}
	}
}

func TestRowAtRestIsSeldomRead(t *testing.T) {
	w, s, p := newWorld(), newSystem(), &rowPlatform{}
	p.run(s, w, 0, time.Minute)
	assert.Equal(t, len(s.state("g").upkeep.grants), s.options.GrantReserve)
	assert.Equal(t, p.writes, s.options.GrantReserve)
	before := p.reads
	p.run(s, w, time.Minute, 61*time.Minute)
	assert.Equal(t, p.writes, s.options.GrantReserve)
	assert.Assert(t, p.reads > before && p.reads <= before+6, "%d reads in an hour", p.reads-before)
}

func TestRowIsReadWhenItIsNeeded(t *testing.T) {
	w, s, p := newWorld(), newSystem(), &rowPlatform{}
	p.run(s, w, 0, time.Minute)

	w.Rows.Delete("g")
	before := p.reads
	p.run(s, w, time.Minute, time.Minute+time.Second)
	assert.Equal(t, p.reads, before+1)

	p.row.Version++
	g, _ := w.Groups.Get("g")
	g.Term, g.Primary = 2, "b"
	w.Groups.Put("g", g)
	p.run(s, w, 2*time.Minute, 2*time.Minute+5*time.Second)
	assert.Equal(t, p.row.Row.Term, tables.Term(2))
	assert.Equal(t, p.row.Row.Primary, tables.UpstreamID("b"))
}

func TestFailingReadsBackOff(t *testing.T) {
	w, s, p := newWorld(), newSystem(), &rowPlatform{down: true}
	p.run(s, w, 0, time.Hour)
	assert.Assert(t, p.reads >= 20 && p.reads <= 70, "%d reads in an hour", p.reads)
	p.down = false
	p.run(s, w, time.Hour, time.Hour+3*time.Minute)
	assert.Equal(t, len(s.state("g").upkeep.grants), s.options.GrantReserve)
}

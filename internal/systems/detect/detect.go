package detect

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// System observes upstreams. It is not safe for concurrent use.
type System struct {
	options  Options
	random   *rand.Rand
	probes   *tables.Table[tables.UpstreamID, probe]
	lastTick tables.Time
	ticked   bool
	groupAt  tables.Time
	// candidacies is for how many groups this VM was a candidate at the last tick.
	candidacies int
	// rounds is when all servers of a group are next probed together.
	rounds *tables.Table[tables.GroupID, tables.Time]
}

// flight is a probe that may still be answered.
type flight struct {
	open   bool
	sentAt tables.Time
	// since is sentAt moved forward by this process's own pauses.
	since tables.Time
}

// probe is the state of probing one upstream.
type probe struct {
	nextAt, nextFreshAt tables.Time
	// pooled is the probe on the lasting connection, fresh the one on a new connection.
	pooled, fresh flight
	// unanswered says that a probe was sent at unansweredAt and none was answered since.
	unanswered   bool
	unansweredAt tables.Time
	// suspect says that one probe failed and no other was answered since.
	suspect bool
	// timedOut says that the lasting connection's last probe ended in silence.
	timedOut bool

	published       bool
	publishedAt     tables.Time
	publishedCause  tables.Cause
	publishedQuorum bool
}

// New returns a system that draws its jitter from random.
func New(options Options, random *rand.Rand) *System {
	return &System{
		options: options,
		random:  random,
		probes:  tables.NewTable[tables.UpstreamID, probe](),
		rounds:  tables.NewTable[tables.GroupID, tables.Time](),
	}
}

// Handle takes one event.
func (s *System) Handle(now tables.Time, w *tables.World, ev event.Event) []action.Action {
	switch e := ev.(type) {
	case event.ProbeDone:
		return s.probeDone(now, w, e)
	case event.StatementFailed:
		return s.statementFailed(now, w, e)
	case event.PeerMessage:
		return s.peerMessage(now, w, e)
	default:
		return nil
	}
}

// Tick sends the probes and observations that are due.
func (s *System) Tick(now tables.Time, w *tables.World) []action.Action {
	s.forgivePause(now, w)
	every := s.primaryInterval(w)
	s.candidacies = 0
	var out []action.Action
	for id, g := range w.Groups.All() {
		candidate := slices.Contains(s.options.Candidates(w, id), w.Self)
		if candidate {
			s.candidacies++
		}
		round := s.roundDue(now, id, candidate)
		for _, member := range g.Members {
			if _, ok := w.Upstreams.Get(member); !ok {
				continue
			}
			fast := candidate && s.pressing(now, w, g, member)
			out = append(out, s.tickUpstream(now, w, member, round, fast, every)...)
		}
	}
	return append(out, s.publishGroups(now, w)...)
}

// primaryInterval returns the time between probes of one primary: the budget of
// probes is shared by all groups for which this VM is a candidate.
func (s *System) primaryInterval(w *tables.World) time.Duration {
	budget := s.options.PrimaryProbes
	if w.VMs.Len() > s.options.FullMesh {
		budget = s.options.LargePrimaryProbes
	}
	shared := time.Duration(s.candidacies) * time.Second / time.Duration(budget)
	return max(s.options.PrimaryInterval, shared)
}

// roundDue reports, once, that all servers of a group are probed together, so
// that the primary's answer can be confirmed by the others'.
func (s *System) roundDue(now tables.Time, id tables.GroupID, candidate bool) bool {
	at, _ := s.rounds.Get(id)
	if now < at {
		return false
	}
	interval := s.options.IdleInterval
	if candidate {
		interval = s.options.RoundInterval
	}
	s.rounds.Put(id, now.Add(interval))
	return true
}

// pressing reports whether a server is probed between rounds on a VM that may
// have to act: the primary, and all servers while the primary is in doubt.
func (s *System) pressing(now tables.Time, w *tables.World, g tables.Group, member tables.UpstreamID) bool {
	if member == g.Primary || g.Primary == "" {
		return true
	}
	primary, _ := w.Upstreams.Get(g.Primary)
	return primary.Cause.Failing() || s.probe(g.Primary).suspect || late(now, primary)
}

// tickUpstream probes one server if a round or, for a pressing one, the
// interval every says so.
func (s *System) tickUpstream(now tables.Time, w *tables.World, id tables.UpstreamID, round, pressing bool, every time.Duration) []action.Action {
	u, _ := w.Upstreams.Get(id)
	p := s.probe(id)
	var out []action.Action
	if !p.pooled.open && (round || pressing && now >= p.nextAt) {
		out = append(out, p.send(now, id, false))
		p.nextAt = now.Add(every)
	}
	if p.pooled.late(now, s.options.FreshAfter) && !p.fresh.open && now >= p.nextFreshAt {
		out = append(out, p.send(now, id, true))
		p.nextFreshAt = now.Add(every)
	}
	if p.fresh.late(now, s.options.FreshAfter) {
		s.fail(w, &p, u, tables.CauseSilent)
		out = append(out, p.send(now, id, true))
	}
	s.probes.Put(id, p)
	s.owe(w, id, p)
	return append(out, s.publish(now, w, id)...)
}

// owe enters whether an answer is outstanding.
func (s *System) owe(w *tables.World, id tables.UpstreamID, p probe) {
	u, _ := w.Upstreams.Get(id)
	if u.Unanswered == p.unanswered && u.UnansweredAt == p.unansweredAt {
		return
	}
	u.Unanswered = p.unanswered
	u.UnansweredAt = p.unansweredAt
	w.Upstreams.Put(id, u)
}

func (s *System) probeDone(now tables.Time, w *tables.World, e event.ProbeDone) []action.Action {
	u, ok := w.Upstreams.Get(e.Upstream)
	if !ok {
		return nil
	}
	p := s.probe(e.Upstream)
	var out []action.Action
	if e.Cause.Failing() {
		out = s.failed(now, w, &p, u, e)
	} else {
		out = s.answered(now, w, &p, u, e)
	}
	s.probes.Put(e.Upstream, p)
	s.owe(w, e.Upstream, p)
	return append(out, s.publish(now, w, e.Upstream)...)
}

// answered records a status. A new connection that answers beside a silent one
// shows that the path was lost and the upstream has not failed.
func (s *System) answered(now tables.Time, w *tables.World, p *probe, u tables.Upstream, e event.ProbeDone) []action.Action {
	p.land(e)
	p.unanswered = false
	p.suspect = false
	cause := e.Cause
	var out []action.Action
	if e.Fresh && (p.timedOut || p.pooled.late(now, s.options.PathLostAfter)) {
		cause = tables.CausePathLost
		p.timedOut = false
		p.pooled.open = false
		out = append(out, action.CloseConnections{Upstream: u.ID})
	}
	if cause != tables.CauseNone && u.Cause != cause {
		u.FailingSince = e.SentAt
	}
	u.Cause = cause
	if e.Cause != tables.CauseBusy && (!u.HasStatus || e.SentAt >= u.StatusSentAt) {
		u.HasStatus = true
		u.Status = e.Status
		u.StatusSentAt = e.SentAt
		u.StatusAt = now
	}
	w.Upstreams.Put(u.ID, u)
	if u.Status.Role == tables.RolePrimary {
		out = append(out, Learn(w, u.Group, u.Status.Fenced, u.ID)...)
	}
	confirm(w, u.Group)
	return out
}

// failed records a failing probe. The first one is checked at once on a new
// connection; only the second marks the upstream as failing.
func (s *System) failed(now tables.Time, w *tables.World, p *probe, u tables.Upstream, e event.ProbeDone) []action.Action {
	p.land(e)
	if !e.Fresh {
		p.timedOut = e.Cause == tables.CauseSilent
	}
	if p.suspect || u.Cause.Failing() {
		s.fail(w, p, u, e.Cause)
		return nil
	}
	p.suspect = true
	if p.fresh.open {
		return nil
	}
	return []action.Action{p.send(now, u.ID, true)}
}

// fail marks u as failing since its first unanswered probe.
func (s *System) fail(w *tables.World, p *probe, u tables.Upstream, cause tables.Cause) {
	p.suspect = true
	if !u.Cause.Failing() {
		u.FailingSince = p.unansweredAt
	}
	u.Cause = cause
	w.Upstreams.Put(u.ID, u)
}

// statementFailed checks the upstream at once on a new connection.
func (s *System) statementFailed(now tables.Time, w *tables.World, e event.StatementFailed) []action.Action {
	if _, ok := w.Upstreams.Get(e.Upstream); !ok {
		return nil
	}
	p := s.probe(e.Upstream)
	if p.fresh.open {
		return nil
	}
	a := p.send(now, e.Upstream, true)
	s.probes.Put(e.Upstream, p)
	return []action.Action{a}
}

func (s *System) peerMessage(now tables.Time, w *tables.World, e event.PeerMessage) []action.Action {
	switch m := e.Message.(type) {
	case peer.Observation:
		store(now, w, m)
		return s.reply(now, w, m)
	case peer.GroupState:
		return Learn(w, m.Group, m.Term, m.Primary)
	}
	return nil
}

// reply answers a failing observation of another proxy with the own one, and
// checks the server at once if it does not fail here.
func (s *System) reply(now tables.Time, w *tables.World, m peer.Observation) []action.Action {
	u, ok := w.Upstreams.Get(m.Upstream)
	if !ok || m.From == w.Self || !m.Cause.Failing() {
		return nil
	}
	p := s.probe(u.ID)
	if p.published && now.Sub(p.publishedAt) < s.options.ReplyAfter {
		return nil
	}
	p.published = false
	var out []action.Action
	if !u.Cause.Failing() && !p.fresh.open {
		out = append(out, p.send(now, u.ID, true))
	}
	s.probes.Put(u.ID, p)
	return append(out, s.publish(now, w, u.ID)...)
}

// forgivePause moves the start of all waiting forward by the time for which
// this process was paused, during which it could not have read an answer.
func (s *System) forgivePause(now tables.Time, w *tables.World) {
	gap := now.Sub(s.lastTick)
	paused := s.ticked && gap >= s.options.PauseAfter
	s.lastTick = now
	s.ticked = true
	if !paused {
		return
	}
	for _, id := range s.probes.Keys() {
		p := s.probe(id)
		p.pooled.since = p.pooled.since.Add(gap)
		p.fresh.since = p.fresh.since.Add(gap)
		p.unansweredAt = p.unansweredAt.Add(gap)
		s.probes.Put(id, p)
	}
	for _, id := range w.Upstreams.Keys() {
		u, _ := w.Upstreams.Get(id)
		u.FailingSince = u.FailingSince.Add(gap)
		w.Upstreams.Put(id, u)
	}
}

func (s *System) probe(id tables.UpstreamID) probe {
	p, _ := s.probes.Get(id)
	return p
}

// send opens a flight and returns its probe.
func (p *probe) send(now tables.Time, id tables.UpstreamID, fresh bool) action.Action {
	f := flight{open: true, sentAt: now, since: now}
	if fresh {
		p.fresh = f
	} else {
		p.pooled = f
	}
	if !p.unanswered {
		p.unanswered = true
		p.unansweredAt = now
	}
	return action.Probe{Upstream: id, Fresh: fresh}
}

// land closes the flight that e ends. An answer to an earlier flight closes none.
func (p *probe) land(e event.ProbeDone) {
	f := &p.pooled
	if e.Fresh {
		f = &p.fresh
	}
	if f.sentAt <= e.SentAt {
		f.open = false
	}
}

func (f flight) late(now tables.Time, after time.Duration) bool {
	return f.open && now.Sub(f.since) >= after
}

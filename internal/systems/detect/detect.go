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
	options      Options
	random       *rand.Rand
	probes       *tables.Table[tables.UpstreamID, probe]
	lastTick     tables.Time
	ticked       bool
	nextGroupsAt tables.Time
	// candidateGroups is the number of groups for which this VM was a candidate at
	// the last tick.
	candidateGroups int
	// rounds holds when all servers of a group are next probed together.
	rounds *tables.Table[tables.GroupID, tables.Time]
}

// pendingProbe is a probe on one connection; open while it may still be answered.
type pendingProbe struct {
	open   bool
	sentAt tables.Time
	// since is sentAt plus the pauses of this process after it.
	since tables.Time
}

// probe is the state of probing one upstream.
type probe struct {
	nextAt, nextFreshAt tables.Time
	// pooled is the probe on the persistent connection, fresh the one on a new
	// connection.
	pooled, fresh pendingProbe
	// unanswered means that a probe was sent at unansweredAt and that none was
	// answered after that.
	unanswered   bool
	unansweredAt tables.Time
	// suspect means that a probe failed and that none was answered after that.
	suspect bool
	// timedOut means that the last probe on the persistent connection timed out.
	timedOut bool

	published       bool
	publishedAt     tables.Time
	publishedCause  tables.Cause
	publishedQuorum bool
}

// New returns a system that uses random for its jitter.
func New(options Options, random *rand.Rand) *System {
	return &System{
		options: options,
		random:  random,
		probes:  tables.NewTable[tables.UpstreamID, probe](),
		rounds:  tables.NewTable[tables.GroupID, tables.Time](),
	}
}

// Handle processes one event.
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
	s.discountPause(now, w)
	interval := s.primaryInterval(w)
	s.candidateGroups = 0
	var out []action.Action
	for id, g := range w.Groups.All() {
		candidate := slices.Contains(s.options.Candidates(w, id), w.Self)
		if candidate {
			s.candidateGroups++
		}
		round := s.roundDue(now, id, candidate)
		for _, member := range g.Members {
			if _, ok := w.Upstreams.Get(member); !ok {
				continue
			}
			fast := candidate && s.needsFastProbes(now, w, g, member)
			out = append(out, s.tickUpstream(now, w, member, round, fast, interval)...)
		}
	}
	return append(out, s.publishGroups(now, w)...)
}

// primaryInterval returns the time between probes of one primary. All groups for
// which this VM is a candidate share the probe budget.
func (s *System) primaryInterval(w *tables.World) time.Duration {
	budget := s.options.PrimaryProbes
	if w.VMs.Len() > s.options.FullMesh {
		budget = s.options.LargePrimaryProbes
	}
	shared := time.Duration(s.candidateGroups) * time.Second / time.Duration(budget)
	return max(s.options.PrimaryInterval, shared)
}

// roundDue reports whether a round is due and schedules the next one. In a round
// all servers of a group are probed together, so that the answers of the others
// can confirm the primary's.
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

// needsFastProbes reports whether a candidate probes a server between rounds too:
// always the primary, and all servers while the primary may have failed.
func (s *System) needsFastProbes(now tables.Time, w *tables.World, g tables.Group, member tables.UpstreamID) bool {
	if member == g.Primary || g.Primary == "" {
		return true
	}
	primary, _ := w.Upstreams.Get(g.Primary)
	return primary.Cause.Failing() || s.probe(g.Primary).suspect || overdue(now, primary)
}

// tickUpstream probes one server if a round is due or, with fast set, if the
// interval has passed since its last probe.
func (s *System) tickUpstream(now tables.Time, w *tables.World, id tables.UpstreamID, round, fast bool, interval time.Duration) []action.Action {
	u, _ := w.Upstreams.Get(id)
	p := s.probe(id)
	var out []action.Action
	if !p.pooled.open && (round || fast && now >= p.nextAt) {
		out = append(out, p.send(now, id, false))
		p.nextAt = now.Add(interval)
	}
	if p.pooled.overdue(now, s.options.FreshAfter) && !p.fresh.open && now >= p.nextFreshAt {
		out = append(out, p.send(now, id, true))
		p.nextFreshAt = now.Add(interval)
	}
	if p.fresh.overdue(now, s.options.FreshAfter) {
		s.markFailing(w, &p, u, tables.CauseSilent)
		out = append(out, p.send(now, id, true))
	}
	s.probes.Put(id, p)
	s.recordUnanswered(w, id, p)
	return append(out, s.publish(now, w, id)...)
}

// recordUnanswered copies to the tables whether an answer is outstanding.
func (s *System) recordUnanswered(w *tables.World, id tables.UpstreamID, p probe) {
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
	s.recordUnanswered(w, e.Upstream, p)
	return append(out, s.publish(now, w, e.Upstream)...)
}

// answered records a status. If a new connection is answered while the persistent
// one is not, the path of the persistent one was lost and the upstream has not
// failed.
func (s *System) answered(now tables.Time, w *tables.World, p *probe, u tables.Upstream, e event.ProbeDone) []action.Action {
	p.complete(e)
	p.unanswered = false
	p.suspect = false
	cause := e.Cause
	var out []action.Action
	if e.Fresh && (p.timedOut || p.pooled.overdue(now, s.options.PathLostAfter)) {
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
		out = append(out, RecordPrimary(w, u.Group, u.Status.Fenced, u.ID)...)
	}
	confirm(w, u.Group)
	return out
}

// failed records a failed probe. After the first failure the upstream is probed
// immediately on a new connection; only a second failure marks it as failing.
func (s *System) failed(now tables.Time, w *tables.World, p *probe, u tables.Upstream, e event.ProbeDone) []action.Action {
	p.complete(e)
	if !e.Fresh {
		p.timedOut = e.Cause == tables.CauseSilent
	}
	if p.suspect || u.Cause.Failing() {
		s.markFailing(w, p, u, e.Cause)
		return nil
	}
	p.suspect = true
	if p.fresh.open {
		return nil
	}
	return []action.Action{p.send(now, u.ID, true)}
}

// markFailing marks u as failing since its first unanswered probe.
func (s *System) markFailing(w *tables.World, p *probe, u tables.Upstream, cause tables.Cause) {
	p.suspect = true
	if !u.Cause.Failing() {
		u.FailingSince = p.unansweredAt
	}
	u.Cause = cause
	w.Upstreams.Put(u.ID, u)
}

// statementFailed probes the upstream immediately on a new connection.
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
		storeObservation(now, w, m)
		return s.reply(now, w, m)
	case peer.GroupState:
		return RecordPrimary(w, m.Group, m.Term, m.Primary)
	}
	return nil
}

// reply publishes this proxy's observation in response to another proxy's failing
// one. It also probes the server immediately if the server does not fail here.
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

// discountPause moves the start times of all waits forward by the duration of a
// pause of this process, because it could not read any answer in that time.
func (s *System) discountPause(now tables.Time, w *tables.World) {
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

// send records a pending probe and returns its action.
func (p *probe) send(now tables.Time, id tables.UpstreamID, fresh bool) action.Action {
	f := pendingProbe{open: true, sentAt: now, since: now}
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

// complete closes the pending probe that e answers. An answer to an earlier probe
// closes none.
func (p *probe) complete(e event.ProbeDone) {
	f := &p.pooled
	if e.Fresh {
		f = &p.fresh
	}
	if f.sentAt <= e.SentAt {
		f.open = false
	}
}

func (p pendingProbe) overdue(now tables.Time, after time.Duration) bool {
	return p.open && now.Sub(p.since) >= after
}

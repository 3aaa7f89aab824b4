package detect

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// publish sends this proxy's observation of an upstream to the other proxies
// after a change and, for primaries, also periodically.
func (s *System) publish(now tables.Time, w *tables.World, id tables.UpstreamID) []action.Action {
	u, _ := w.Upstreams.Get(id)
	g, ok := w.Groups.Get(u.Group)
	if !ok || !u.HasStatus && !u.Cause.Failing() {
		return nil
	}
	p := s.probe(id)
	quorum := hasQuorum(now, w, g, id)
	if !s.publishDue(now, p, u, quorum, g.Primary == id) {
		return nil
	}
	to := s.recipients(w, g.ID)
	if len(to) == 0 {
		return nil
	}
	p.published = true
	p.publishedAt = now
	p.publishedCause = u.Cause
	p.publishedQuorum = quorum
	s.probes.Put(id, p)
	return []action.Action{action.Publish{To: to, Topic: peer.TopicObservation, Message: observation(now, w, u, quorum)}}
}

func (s *System) publishDue(now tables.Time, p probe, u tables.Upstream, quorum, primary bool) bool {
	if !p.published {
		return true
	}
	since := now.Sub(p.publishedAt)
	if p.publishedCause != u.Cause || p.publishedQuorum != quorum {
		return since >= s.options.MinPublishInterval
	}
	if u.Cause.Failing() {
		return primary && since >= s.options.FailingInterval
	}
	return primary && since >= s.options.PublishInterval
}

// recipients returns the VMs that receive publications about a group: all other
// VMs up to FullMesh VMs, otherwise the group's other candidates.
func (s *System) recipients(w *tables.World, id tables.GroupID) []tables.VMID {
	if w.VMs.Len() <= s.options.FullMesh {
		return Peers(w)
	}
	var out []tables.VMID
	for _, vm := range s.options.Candidates(w, id) {
		if vm != w.Self {
			out = append(out, vm)
		}
	}
	return out
}

// hasQuorum reports whether a majority of g is reached, counting the upstream id
// as reached.
func hasQuorum(now tables.Time, w *tables.World, g tables.Group, id tables.UpstreamID) bool {
	return 1+CountReached(now, w, g, id) >= tables.Majority(len(g.Members))
}

func observation(now tables.Time, w *tables.World, u tables.Upstream, quorum bool) peer.Observation {
	o := peer.Observation{From: w.Self, DataCentre: w.DataCentre, Upstream: u.ID, Cause: u.Cause, Quorum: quorum}
	if u.Cause.Failing() {
		o.FailingMillis = now.Sub(u.FailingSince).Milliseconds()
		return o
	}
	o.AgeMillis = ceilMillis(now.Sub(u.StatusSentAt))
	return o
}

func ceilMillis(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

func storeObservation(now tables.Time, w *tables.World, m peer.Observation) {
	if m.From == w.Self {
		return
	}
	w.Observations.Put(tables.NewObservationKey(m.From, m.Upstream), tables.Observation{
		From:       m.From,
		DataCentre: m.DataCentre,
		Upstream:   m.Upstream,
		Cause:      m.Cause,
		FailingFor: time.Duration(m.FailingMillis) * time.Millisecond,
		Quorum:     m.Quorum,
		Age:        time.Duration(m.AgeMillis) * time.Millisecond,
		ReceivedAt: now,
	})
}

// publishGroups periodically publishes the known primaries, for proxies that just
// started or lost a message.
func (s *System) publishGroups(now tables.Time, w *tables.World) []action.Action {
	if now < s.nextGroupsAt {
		return nil
	}
	s.nextGroupsAt = now.Add(s.options.PublishInterval + s.jitter(s.options.PublishInterval))
	var out []action.Action
	for id, g := range w.Groups.All() {
		to := s.recipients(w, id)
		if g.Primary != "" && len(to) > 0 {
			m := peer.GroupState{Group: id, Term: g.Term, Primary: g.Primary}
			out = append(out, action.Publish{To: to, Topic: peer.TopicGroup, Message: m})
		}
	}
	return out
}

func (s *System) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

// Peers returns the other VMs.
func Peers(w *tables.World) []tables.VMID {
	var out []tables.VMID
	for id := range w.VMs.All() {
		if id != w.Self {
			out = append(out, id)
		}
	}
	return out
}

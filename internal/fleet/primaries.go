package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/systems/replace"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// watchInterval is how often primaries are checked, and idleWatchInterval how
	// often while no group is in use.
	watchInterval     = 100 * time.Millisecond
	idleWatchInterval = 500 * time.Millisecond
	// probeTimeout bounds a probe of an unresponsive primary.
	probeTimeout = 350 * time.Millisecond
	// usedWithin is how long after its last statement a group's freshness point
	// and evidence are kept up to date for reads.
	usedWithin = 3 * time.Second
	// pointRefreshAge is the age of the newest freshness point from which a new
	// one is requested.
	pointRefreshAge = 500 * time.Millisecond
	// evidenceRefreshAge is the age of evidence from which a replica is queried
	// while the store is lost: half of the time for which evidence holds.
	evidenceRefreshAge = freshness.Lease / 2
	// recordOrderedAfter is how long after an announcement proxies other than its
	// author check whether the ordered server leads.
	recordOrderedAfter = 2 * time.Second
	// termRetryInterval is the pause between two queries for a primary's term.
	termRetryInterval = time.Second
)

// watchPrimaries checks the primaries, starts replacements, and keeps freshness
// points and evidence up to date for reads.
func (f *Fleet) watchPrimaries(ctx context.Context) {
	probing := make(map[tables.UpstreamID]bool)
	termRequestedAt := make(map[tables.GroupID]tables.Time)
	probesDone := make(chan tables.UpstreamID, 64)
	for sleep.For(ctx, f.nextCheckIn()) == nil {
		for {
			select {
			case id := <-probesDone:
				delete(probing, id)
				continue
			default:
			}
			break
		}
		f.removeTerminatedServers()
		f.advanceRamps()
		f.reportLeaderless()
		for _, id := range f.membersToUpdate() {
			go f.updateMembers(ctx, id)
		}
		for _, id := range f.groupsToConfirm() {
			go f.confirmGroup(ctx, id)
		}
		var stale []Leader
		for _, check := range f.checkGroups() {
			if check.probe && !probing[check.leader.Upstream.ID()] {
				probing[check.leader.Upstream.ID()] = true
				go func() {
					check.leader.Upstream.probe(ctx)
					probesDone <- check.leader.Upstream.ID()
				}()
			}
			if check.queryUnlisted {
				go f.queryUnlisted(ctx, check.id)
			}
			if check.mayBeHeld {
				go f.releaseUnowned(ctx, check.leader)
			}
			switch {
			case check.recordOrdered:
				go f.recordOrderedPrimary(ctx, check.id)
			case check.cause != replace.CauseNone && check.mayReplace:
				go f.replacePrimary(ctx, check.id, check.cause, check.leader)
			case check.fetchTerm && f.Now().Sub(termRequestedAt[check.id]) > termRetryInterval:
				termRequestedAt[check.id] = f.Now()
				go f.fetchTerm(ctx, check.leader)
			case check.fetchEvidence:
				go f.queryReplica(ctx, check.leader)
			case check.fetchPoint:
				stale = append(stale, check.leader)
			}
		}
		if len(stale) > 0 {
			go f.refreshPoints(ctx, stale)
		}
	}
}

// nextCheckIn returns the time until the next check of the primaries.
func (f *Fleet) nextCheckIn() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	for _, g := range f.groups {
		if g.record.Replacing || g.inUse(now) {
			return watchInterval
		}
	}
	return idleWatchInterval
}

// inUse reports whether a statement needed the group recently.
func (g *group) inUse(now tables.Time) bool {
	return g.usedAt != 0 && now.Sub(g.usedAt) < usedWithin
}

// groupCheck is the result of one check of a group.
type groupCheck struct {
	id     tables.GroupID
	leader Leader
	cause  replace.Cause
	// mayReplace says that a replacement may begin now.
	mayReplace bool
	// probe says that the primary is unresponsive and should be probed.
	probe      bool
	fetchTerm  bool
	fetchPoint bool
	// fetchEvidence says that evidence has to be renewed while the store is lost.
	fetchEvidence bool
	// recordOrdered says that the server which was ordered has to be recorded if
	// it leads.
	recordOrdered bool
	// queryUnlisted says that the servers without an entry are to be queried.
	queryUnlisted bool
	// mayBeHeld says that the status of the replicas is to be queried, as one may be held
	// although no replacement is under way.
	mayBeHeld bool
}

func (f *Fleet) checkGroups() []groupCheck {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	var out []groupCheck
	for id, g := range f.groups {
		if !f.configured(id) {
			continue
		}
		check := groupCheck{id: id, mayReplace: !g.attemptRunning && now >= g.nextReplaceAt && f.storeLostAt == 0 && f.confirmed(g)}
		serversKnown := f.serversKnown(now)
		u, ok := f.upstreams[g.Primary]
		switch {
		case g.record.Replacing && now.Sub(g.announcedAt) < recordOrderedAfter:
			continue
		case g.record.Replacing && g.record.Ordered != "" && now.Sub(g.announcedAt) < replace.CoordinatorLeaseTime+replace.MinOrderGap:
			check.recordOrdered = check.mayReplace && serversKnown
		case g.record.Replacing && now.Sub(g.announcedAt) < replace.CoordinatorLeaseTime:
			continue
		case g.record.Replacing:
			check.cause = replace.CauseUnfinished
		case !ok:
			// The primary's entry is missing and its server was removed, or no server
			// ever led.
			check.cause = replace.JudgeAbsent(f.absentView(g, now))
		default:
			check.leader = Leader{Upstream: u, group: g, record: g.version}
			unanswered, commit, refused := u.unansweredSince()
			check.cause = replace.Judge(replace.View{
				Now: now, Leaving: u.leaving, MissingSince: f.missingWhileStoreAnswers(u),
				RefusedSince: refused, SilentSince: unanswered, CommitSince: commit, DeposedSince: u.deposedSince(),
			})
			check.probe = refused != 0 || u.Unreachable() || unanswered != 0 && now.Sub(unanswered) > probeTimeout/2
			check.fetchTerm = g.term == 0
			check.queryUnlisted = g.inUse(now) && f.unlistedCheckDue(g, now)
			check.mayBeHeld = check.mayReplace && serversKnown && f.mayBeHeld(g, now)
			newest, found := g.NewestPoint()
			check.fetchEvidence = (f.storeLostAt != 0 || !f.confirmed(g)) && g.inUse(now) && g.LedAt(now) && now.Sub(g.ProvenAt) > evidenceRefreshAge
			check.fetchPoint = g.inUse(now) && (!found || now.Sub(newest) > pointRefreshAge) && now.Sub(g.pointRequestedAt) > pointRefreshAge/2
			if check.fetchPoint {
				g.pointRequestedAt = now
			}
		}
		check.mayReplace = check.mayReplace && (serversKnown || f.mayDemote(g, check.cause))
		out = append(out, check)
	}
	return out
}

// mayDemote reports whether a replacement for a cause can demote the primary: the log of
// a demoted primary shows whether the servers that are known have all commits, so that one
// that joined during an outage need not be waited for. The lock must be held.
func (f *Fleet) mayDemote(g *group, cause replace.Cause) bool {
	u, ok := f.recordedPrimary(g)
	return ok && (cause == replace.CauseLeaving || cause == replace.CauseUnfinished) && u.missingSince == 0 && !u.Unreachable()
}

// demotesPrimary reports whether a replacement for a cause demotes the primary first, so that
// its log may stand for servers that ended. Orders of an earlier era of the store may be
// missing from the record. The lock must be held.
func (f *Fleet) demotesPrimary(g *group, cause replace.Cause) bool {
	return g.version.Era == 0 && f.mayDemote(g, cause)
}

// demotesFirst is demotesPrimary for a group's id.
func (f *Fleet) demotesFirst(id tables.GroupID, cause replace.Cause) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.demotesPrimary(f.group(id), cause)
}

// recordedPrimary returns the primary named by a group's record, or the one known if it has
// no record. The lock must be held.
func (f *Fleet) recordedPrimary(g *group) (*Upstream, bool) {
	id := g.record.Primary
	if g.version.IsZero() {
		id = g.Primary
	}
	u, ok := f.upstreams[id]
	return u, ok
}

// configured reports whether the configuration names a group. Entries of other writers
// may name groups that do not exist.
func (f *Fleet) configured(id tables.GroupID) bool {
	r := f.routing.Load()
	if r == nil {
		return false
	}
	_, ok := r.Groups[id]
	return ok
}

// absentView returns the view of a group without a known primary. The lock must be
// held.
func (f *Fleet) absentView(g *group, now tables.Time) replace.AbsentView {
	v := replace.AbsentView{Now: now, Led: g.lastPrimary != "" || g.record.Primary != ""}
	if f.entriesReadAt != 0 {
		v.EntriesSince = max(f.entriesReadAt, f.storeRegainedAt)
	}
	for _, u := range f.upstreams {
		if u.entry.Group == g.id {
			v.JoinedAt = max(v.JoinedAt, u.joinedAt)
		}
	}
	if len(replace.Stopped(g.members, f.withEntry(g), "")) > 0 {
		v.Led = true
	}
	return v
}

// serversKnown reports whether every server that may count for commits has an
// entry. A server that joined during an outage of the store receives commits at
// once, but its entry shows only after the outage: a replacement that doesn't hold
// it would lose commits that no other replica has, unless the log of the demoted
// primary shows that there are none. The lock must be held.
func (f *Fleet) serversKnown(now tables.Time) bool {
	return f.entriesReadAt != 0 && now.Sub(max(f.entriesReadAt, f.outageEndedAt)) >= replace.MissingTimeout
}

// hasServers reports whether any server of a group is known. The lock must be
// held.
func (f *Fleet) hasServers(id tables.GroupID) bool {
	for _, u := range f.upstreams {
		if u.entry.Group == id {
			return true
		}
	}
	return false
}

// removeTerminatedServers removes the servers whose entries have been missing for
// terminatedRetention, and closes idle connections that are no longer needed.
func (f *Fleet) removeTerminatedServers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	for id, u := range f.upstreams {
		u.pool.Trim(f.idleConnectionShare(u))
		since := f.missingWhileStoreAnswers(u)
		if since == 0 || now.Sub(since) < terminatedRetention || f.answersUnlisted(u, terminatedRetention) {
			continue
		}
		if !hasLeft(u) {
			f.group(u.entry.Group).unlisted[id] = now
		}
		f.log.Info("Removed a terminated server.", "upstream", id, "group", u.entry.Group, "left", hasLeft(u))
		u.pool.Close()
		u.mu.Lock()
		u.endRamp(rampServerLeft)
		u.mu.Unlock()
		delete(f.upstreams, id)
		u.sameAddress = nil
		f.ended[id] = endedServer{entry: u.newest, at: now}
	}
	for id, e := range f.ended {
		if now.Sub(e.at) >= endedRetention {
			delete(f.ended, id)
		}
	}
}

// endedServer is a server that was removed.
type endedServer struct {
	entry tables.Entry
	at    tables.Time
}

// endedRetention is how long a removed server is remembered. It exceeds the age of a
// copy from which the store may come back, which is some seconds.
const endedRetention = time.Minute

// terminatedRetention is how long a server without an entry is kept, so that a
// replacement still takes it into account.
const terminatedRetention = 2 * replace.MissingTimeout

// probe tries a new connection, to distinguish a server that is silent only on
// old connections from an unreachable one.
func (u *Upstream) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	token, startedAt := u.startStatement(false), u.fleet.Now()
	c, err := u.pool.Get(ctx, "", true)
	if err != nil {
		u.recordProbeFailure(token, startedAt, err)
		return
	}
	u.recordReply(token, false)
	u.pool.Put(c)
}

// refreshPoints updates the freshness points of groups and the evidence for
// them, from the data centre's designated reader or, where it has none, from
// the primaries.
func (f *Fleet) refreshPoints(ctx context.Context, list []Leader) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range f.refreshFromReader(ctx, list) {
		wg.Go(func() {
			if err := f.fetchPoint(ctx, l); err != nil {
				f.log.Debug("Could not get the position of a primary.", "group", l.group.id, "upstream", l.Upstream.ID(), "error", err)
			}
		})
	}
	wg.Wait()
}

// refreshFromReader applies the designated reader's points and returns the
// groups for which the primary is still needed, as the reader has no point that
// is new enough.
func (f *Fleet) refreshFromReader(ctx context.Context, list []Leader) (remaining []Leader) {
	ids := make([]tables.GroupID, len(list))
	for i, l := range list {
		ids[i] = l.group.id
	}
	requestedAt := f.Now()
	reports := f.Peers.QueryReader(ctx, ids)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range list {
		report, ok := reports[l.group.id]
		if ok {
			l.group.Receive(requestedAt, report)
		}
		if newest, found := l.group.NewestPoint(); !ok || !found || requestedAt.Sub(newest) > 2*pointRefreshAge {
			remaining = append(remaining, l)
		}
	}
	return remaining
}

// fetchTerm queries the term of a primary that was never replaced.
func (f *Fleet) fetchTerm(ctx context.Context, l Leader) {
	status, err := l.Upstream.queryStatus(ctx, statement.Statement{Kind: statement.Status})
	if err != nil || !status.Leads {
		f.log.Debug("Could not get the term of a primary.", "group", l.group.id, "upstream", l.Upstream.ID(), "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.group.Primary == l.Upstream.entry.ID && l.group.Record == l.record && l.group.term == 0 {
		l.group.term = status.Term
		f.log.Info("Received the term of a primary.", "group", l.group.id, "upstream", l.Upstream.ID(), "term", status.Term)
	}
}

// randomDelay spreads the actions of proxies that see the same failure over a
// short time.
func randomDelay() time.Duration { return rand.N(60 * time.Millisecond) }

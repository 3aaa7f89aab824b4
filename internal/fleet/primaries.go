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
	// watchInterval is how often primaries are judged, and restInterval how often
	// while no statement uses any group.
	watchInterval = 100 * time.Millisecond
	restInterval  = 500 * time.Millisecond
	// probeTimeout bounds a probe of a primary that does not answer.
	probeTimeout = 350 * time.Millisecond
	// usedRecently is how long after its last statement a group is kept ready for reads.
	usedRecently = 3 * time.Second
	// pointAge is the age of the newest point beyond which the primary is asked for one.
	pointAge = 500 * time.Millisecond
	// evidenceAge is the age of evidence beyond which a replica is asked while the
	// store is away: half of what it holds for.
	evidenceAge = freshness.Lease / 2
	// settleAfter is how long after an announcement other proxies than its maker
	// look whether the ordered server leads.
	settleAfter = 2 * time.Second
	// termPause is the pause between two questions for a primary's term.
	termPause = time.Second
)

// watchPrimaries judges the primaries, and keeps what reads need at hand.
func (f *Fleet) watchPrimaries(ctx context.Context) {
	probing := make(map[tables.UpstreamID]bool)
	asked := make(map[tables.GroupID]tables.Time)
	ended := make(chan tables.UpstreamID, 64)
	for sleep.For(ctx, f.nextLook()) == nil {
		for {
			select {
			case id := <-ended:
				delete(probing, id)
				continue
			default:
			}
			break
		}
		f.dropGone()
		for _, w := range f.membersToKeep() {
			go f.keepMembers(ctx, w)
		}
		var stale []Leader
		for _, w := range f.judge() {
			if w.troubled && !probing[w.leader.Upstream.ID()] {
				probing[w.leader.Upstream.ID()] = true
				go func() {
					w.leader.Upstream.probe(ctx)
					ended <- w.leader.Upstream.ID()
				}()
			}
			switch {
			case w.settle:
				go f.settleFor(ctx, w.id)
			case w.cause != replace.CauseNone && w.due:
				go f.takeOver(ctx, w.id, w.cause, w.leader)
			case w.askTerm && f.Now().Sub(asked[w.id]) > termPause:
				asked[w.id] = f.Now()
				go f.learnTerm(ctx, w.leader)
			case w.askReplica:
				go f.askReplica(ctx, w.leader)
			case w.askPoint:
				stale = append(stale, w.leader)
			}
		}
		if len(stale) > 0 {
			go f.refresh(ctx, stale)
		}
	}
}

// nextLook returns the time until the next look at the primaries.
func (f *Fleet) nextLook() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	for _, g := range f.groups {
		if g.record.Replacing || g.inUse(now) {
			return watchInterval
		}
	}
	return restInterval
}

// inUse reports whether a statement needed the group lately.
func (g *group) inUse(now tables.Time) bool {
	return g.usedAt != 0 && now.Sub(g.usedAt) < usedRecently
}

// watched is what one look at a group gave.
type watched struct {
	id     tables.GroupID
	leader Leader
	cause  replace.Cause
	// due says that a replacement may begin now.
	due bool
	// troubled says that the primary does not answer and is to be probed.
	troubled bool
	askTerm  bool
	askPoint bool
	// askReplica says that evidence is to be kept while the store is away.
	askReplica bool
	// settle says that a server which was ordered is to be recorded if it leads.
	settle bool
}

func (f *Fleet) judge() []watched {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	var out []watched
	for id, g := range f.groups {
		w := watched{id: id, due: !g.replacing && now >= g.restUntil && f.storeLostAt == 0}
		u, ok := f.upstreams[g.Primary]
		switch {
		case g.record.Replacing && now.Sub(g.announcedAt) < settleAfter:
			continue
		case g.record.Replacing && g.record.Ordered != "" && now.Sub(g.announcedAt) < dutyTime+turnTime:
			w.settle = w.due
		case g.record.Replacing && now.Sub(g.announcedAt) < dutyTime:
			continue
		case g.record.Replacing:
			w.cause = replace.CauseUnfinished
		case !ok:
			if !f.settled(now) || !f.hasMembers(id) {
				continue
			}
			// The primary's entry is gone and its server forgotten, or none ever led.
			w.cause = replace.CauseGone
		default:
			w.leader = Leader{Upstream: u, group: g, record: g.version}
			silent, commit, refused := u.silence()
			w.cause = replace.Judge(replace.View{
				Now: now, Leaving: u.leaving, MissingSince: f.missingWhileStoreAnswers(u),
				RefusedSince: refused, SilentSince: silent, CommitSince: commit, DeposedSince: u.deposedSince(),
			})
			w.troubled = refused != 0 || u.Unreachable() || silent != 0 && now.Sub(silent) > probeTimeout/2
			w.askTerm = g.term == 0
			newest, known := g.NewestPoint()
			w.askReplica = f.storeLostAt != 0 && g.inUse(now) && g.LedAt(now) && now.Sub(g.ProvenAt) > evidenceAge
			w.askPoint = g.inUse(now) && (!known || now.Sub(newest) > pointAge) && now.Sub(g.askedAt) > pointAge/2
			if w.askPoint {
				g.askedAt = now
			}
		}
		out = append(out, w)
	}
	return out
}

// settled reports whether the store has answered for so long that a missing
// entry means a server that is gone. The lock must be held.
func (f *Fleet) settled(now tables.Time) bool {
	return f.entriesReadAt != 0 && now.Sub(max(f.entriesReadAt, f.storeBackAt)) >= replace.MissingTimeout
}

// hasMembers reports whether any server of a group is known. The lock must be held.
func (f *Fleet) hasMembers(id tables.GroupID) bool {
	for _, u := range f.upstreams {
		if u.entry.Group == id {
			return true
		}
	}
	return false
}

// dropGone forgets servers whose entries are gone for good.
func (f *Fleet) dropGone() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	for id, u := range f.upstreams {
		u.pool.Trim(f.keptConnections(u))
		since := f.missingWhileStoreAnswers(u)
		if since == 0 || now.Sub(since) < goneKept {
			continue
		}
		f.log.Info("Forgot a server that is gone.", "upstream", id, "group", u.entry.Group)
		u.pool.Close()
		delete(f.upstreams, id)
	}
}

// goneKept is how long a server without an entry is remembered, so that a
// replacement knows that it counted.
const goneKept = 2 * replace.MissingTimeout

// probe tries a new connection, so that a server that is silent on old ones
// alone is told from one that does not answer.
func (u *Upstream) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	token := u.began(false)
	c, err := u.pool.Get(ctx, true)
	if err != nil {
		u.probeFailed(token, err)
		return
	}
	u.answered(token, false)
	u.pool.Put(c)
}

// refresh brings the points of groups and the evidence for them up to date,
// from the data centre's looker or, where that has none, from the primaries.
func (f *Fleet) refresh(ctx context.Context, list []Leader) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range f.hearLooker(ctx, list) {
		wg.Go(func() {
			if err := f.takePoint(ctx, l); err != nil {
				f.log.Debug("A primary gave no position.", "group", l.group.id, "upstream", l.Upstream.ID(), "error", err)
			}
		})
	}
	wg.Wait()
}

// hearLooker takes the looker's points and returns the groups that it has no
// point of which is new enough to do without the primary.
func (f *Fleet) hearLooker(ctx context.Context, list []Leader) (left []Leader) {
	ids := make([]tables.GroupID, len(list))
	for i, l := range list {
		ids[i] = l.group.id
	}
	asked := f.Now()
	known := f.Peers.AskLooker(ctx, ids)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range list {
		k, ok := known[l.group.id]
		if ok {
			l.group.Receive(asked, k)
		}
		if newest, there := l.group.NewestPoint(); !ok || !there || asked.Sub(newest) > 2*pointAge {
			left = append(left, l)
		}
	}
	return left
}

// learnTerm asks a primary that was never replaced for its term.
func (f *Fleet) learnTerm(ctx context.Context, l Leader) {
	account, err := l.Upstream.ask(ctx, statement.Statement{Kind: statement.Status})
	if err != nil || !account.Leads {
		f.log.Debug("A primary did not tell its term.", "group", l.group.id, "upstream", l.Upstream.ID(), "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.group.Primary == l.Upstream.entry.ID && l.group.Record == l.record && l.group.term == 0 {
		l.group.term = account.Term
		f.log.Info("Learnt a primary's term.", "group", l.group.id, "upstream", l.Upstream.ID(), "term", account.Term)
	}
}

// stagger spreads the proxies that see the same failure over a short time.
func stagger() time.Duration { return rand.N(60 * time.Millisecond) }

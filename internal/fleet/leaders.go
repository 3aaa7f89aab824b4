package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/links"
	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/systems/freshness"
	"github.com/cranberrystage/cranberrystage/internal/systems/preparation"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// The project's own table in the store: one row a group that ever had its
// primary replaced, one for its members, and one for the duty.
const (
	// RecordTable is its name.
	RecordTable   = "cranberrystage"
	groupPrefix   = "group/"
	membersPrefix = "members/"
	dutyKey       = "duty"
)

const (
	// lookTimeout bounds one look at the store for evidence.
	lookTimeout = 500 * time.Millisecond
	// slowLook is the time of a look beyond which replicas are asked beside the store.
	slowLook = 60 * time.Millisecond
	// askTimeout bounds one question of the proxy's own to a server.
	askTimeout = 400 * time.Millisecond
	// proofPause is the pause between two tries to get evidence.
	proofPause = 15 * time.Millisecond
	// proofTries bounds the tries to get evidence for one request.
	proofTries = 3
)

func (f *Fleet) watchRecords(ctx context.Context) {
	f.follow(ctx, RecordTable, func(rows platform.Rows, all bool, at tables.Time) {
		f.takeRecords(rows, all, at.Add(-rows.Age))
	})
}

// takeRecords takes the store's word on primaries. A whole table read from at
// on is evidence for every group.
func (f *Fleet) takeRecords(rows platform.Rows, all bool, at tables.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[tables.GroupID]uint64, len(rows.Rows))
	for _, r := range rows.Rows {
		if id, ok := strings.CutPrefix(r.Key, membersPrefix); ok && !r.Dropped {
			f.takeMembers(f.group(tables.GroupID(id)), r)
			continue
		}
		id, ok := strings.CutPrefix(r.Key, groupPrefix)
		if !ok || r.Dropped {
			continue
		}
		g := f.group(tables.GroupID(id))
		seen[g.id] = r.Version
		if r.Version > g.version {
			f.takeRecord(g, r)
		}
	}
	if !all {
		return
	}
	for id, g := range f.groups {
		if seen[id] == g.version {
			g.Prove(g.Primary, g.version, at)
			g.storeProvenAt = max(g.storeProvenAt, at)
		}
	}
}

// takeRecord takes a newer record of a group. The lock must be held.
func (f *Fleet) takeRecord(g *group, r platform.TableRow) {
	var record tables.PrimaryRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		f.log.Error("Ignored a record of a primary that can't be read.", "group", g.id, "rowVersion", r.Version, "error", err)
		return
	}
	if record.Replacing && !g.record.Replacing {
		g.announcedAt = f.Now()
	}
	g.record, g.version = record, r.Version
	f.lead(g)
}

// lead works out who leads a group. The lock must be held.
func (f *Fleet) lead(g *group) {
	primary := g.record.Primary
	if g.record.Replacing {
		primary = ""
	}
	if g.version == 0 {
		primary = f.firstPrimary(g.id)
	}
	if g.record.Replacing && g.record.Ordered != "" {
		if g.Record != g.version || g.Leadership.Frozen != g.record.Safe {
			g.Freeze(g.version, g.record.Safe)
			g.announce()
		}
		return
	}
	if g.Primary == primary && g.Record == g.version {
		return
	}
	f.log.Info("The primary of a group changed.", "group", g.id, "primary", primary, "before", g.Primary,
		"record", g.version, "term", g.record.Term, "replacing", g.record.Replacing)
	if g.Primary != primary || g.record.Term != 0 {
		g.term = g.record.Term
	}
	g.Lead(primary, g.version)
	g.announce()
}

// announce wakes all that wait for news of the primary.
func (g *group) announce() {
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}

// firstPrimary returns the primary of a group that was never replaced: only
// this project's proxies order replacements, so the servers' own word holds.
// The lock must be held.
func (f *Fleet) firstPrimary(id tables.GroupID) tables.UpstreamID {
	var best *Upstream
	for _, u := range f.upstreams {
		if u.entry.Group != id || !u.claims {
			continue
		}
		if best == nil || u.entry.StartedAt > best.entry.StartedAt ||
			u.entry.StartedAt == best.entry.StartedAt && u.entry.ID < best.entry.ID {
			best = u
		}
	}
	if best == nil {
		return ""
	}
	return best.entry.ID
}

// look reads the records for evidence. Calls at the same time share one.
func (f *Fleet) look(ctx context.Context) error {
	done := f.looks.DoChan("look", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		at := f.Now()
		rows, err := f.Store.ReadTable(ctx, RecordTable)
		if err != nil {
			f.storeFailed(RecordTable, err)
			return nil, err
		}
		f.storeAnswered(RecordTable)
		f.takeRecords(rows, true, at.Add(-rows.Age))
		return nil, nil
	})
	select {
	case r := <-done:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leader is a group's primary as of one record.
type Leader struct {
	Upstream *Upstream
	group    *group
	record   uint64
}

// Leader returns the primary of a group. While there is none, expected is how
// long that is expected to last; 0 means that nothing is known.
func (f *Fleet) Leader(id tables.GroupID) (l Leader, changed <-chan struct{}, expected time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	g.usedAt = f.Now()
	u, there := f.upstreams[g.Primary]
	if g.Primary == "" || !there || f.leftTooLong(u) {
		return Leader{}, g.leaderChanged, g.expectedGap(f.Now()), false
	}
	return Leader{Upstream: u, group: g, record: g.version}, g.leaderChanged, 0, true
}

// leftTooLong reports whether a leaving server must get no new work, even if it
// is the primary and none has taken its place. The lock must be held.
func (f *Fleet) leftTooLong(u *Upstream) bool {
	return u.leaving && f.Now().Sub(u.leavingSince) > f.DrainLimit-drainMargin
}

// drainMargin is the part of the drain limit that work under way may need.
const drainMargin = 1500 * time.Millisecond

// firstPromote is how long an order is assumed to take before one was seen.
const firstPromote = time.Second

// overdue is how long a new primary may be late until its time is unknown.
const overdue = 500 * time.Millisecond

// expectedGap returns how long the replacement under way still takes; 0 means
// that nothing is known.
func (g *group) expectedGap(now tables.Time) time.Duration {
	if !g.record.Replacing {
		return 0
	}
	took := g.promoteTook
	if took == 0 {
		took = firstPromote
	}
	left := g.announcedAt.Add(freshness.Lease + took).Sub(now)
	if left < -overdue {
		return 0
	}
	return max(left, minGap)
}

// minGap is the least time that callers wait for a primary that is due.
const minGap = 50 * time.Millisecond

// Belief returns, for the log, whom this proxy takes for a group's primary, by
// which record, and how old the evidence is; 0 means that there is none.
func (f *Fleet) Belief(id tables.GroupID) (primary tables.UpstreamID, record uint64, provenAge time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.group(id)
	if g.ProvenAt != 0 {
		provenAge = f.Now().Sub(g.ProvenAt)
	}
	return g.Primary, g.Record, provenAge
}

// Observe takes note of a position that the primary reported to a statement
// sent at at.
func (f *Fleet) Observe(l Leader, at tables.Time, p tables.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l.group.Note(l.Upstream.entry.ID, l.record, freshness.Point{At: at, Position: p})
}

// Committed takes note of a commit that was sent at at and acknowledged after a
// replica received it.
func (f *Fleet) Committed(l Leader, at tables.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.routing.Load(); r == nil || r.Groups[l.group.id].SyncReplicas < 1 {
		return
	}
	l.group.Prove(l.Upstream.entry.ID, l.record, at)
}

// Replaced reports whether another server has taken l's place, or was ordered
// to: a commit that l acknowledges now may be missing there.
func (f *Fleet) Replaced(l Leader) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := l.group
	return g.version != l.record && (g.record.Ordered != "" || g.record.Primary != l.Upstream.entry.ID)
}

// LedNow reports whether evidence at hand shows that l led at t.
func (f *Fleet) LedNow(l Leader, t tables.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := l.group
	return g.Primary == l.Upstream.entry.ID && g.Record == l.record && g.Leadership.LedAt(t)
}

// LedAt reports whether l surely led at t. It gives up after a few tries to
// find evidence: the caller then does better at another proxy.
func (f *Fleet) LedAt(ctx context.Context, l Leader, t tables.Time) bool {
	for try := 0; ; try++ {
		f.mu.Lock()
		g := l.group
		current := g.Primary == l.Upstream.entry.ID && g.Record == l.record
		led := g.Leadership.LedAt(t)
		lost := f.storeLostAt != 0
		f.mu.Unlock()
		if !current || led {
			return current && led
		}
		if ctx.Err() != nil || try >= proofTries {
			f.unproven()
			return false
		}
		f.seekEvidence(ctx, l, lost)
	}
}

// unproven takes note that evidence was sought in vain.
func (f *Fleet) unproven() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unprovenAt = f.Now()
}

// seekEvidence makes one try at the store, and at a replica if the store is
// away or slow.
func (f *Fleet) seekEvidence(ctx context.Context, l Leader, lost bool) {
	if !lost {
		quick, cancel := context.WithTimeout(ctx, slowLook)
		err := f.look(quick)
		cancel()
		if err == nil {
			return
		}
	}
	if f.askReplica(ctx, l) {
		return
	}
	if !lost && f.look(ctx) == nil {
		return
	}
	_ = sleep.For(ctx, proofPause) // the caller looks at ctx
}

// askReplica asks a replica whether it still follows l's term. Calls of one
// group at the same time share one.
func (f *Fleet) askReplica(ctx context.Context, l Leader) bool {
	ok, _, _ := f.looks.Do("replica/"+string(l.group.id), func() (any, error) {
		return f.askReplicaOnce(ctx, l), nil
	})
	return ok.(bool)
}

func (f *Fleet) askReplicaOnce(ctx context.Context, l Leader) bool {
	f.mu.Lock()
	term, since := l.group.term, l.group.storeProvenAt
	replicas := f.members(l.group.id, func(u *Upstream) bool {
		return u != l.Upstream && !u.leaving && u.missingSince == 0
	})
	f.mu.Unlock()
	if term == 0 {
		return false
	}
	for _, u := range replicas {
		// A connection that is older than the last look proves that the replica
		// has not forgotten since that it was held.
		c, ok := u.pool.Oldest(since)
		if !ok {
			continue
		}
		at := f.Now()
		account, err := u.askOn(ctx, c, statement.Statement{Kind: statement.Status})
		if err != nil || account.Leads || account.Held != 0 || account.Term != term {
			continue
		}
		f.mu.Lock()
		l.group.Prove(l.Upstream.entry.ID, l.record, at)
		f.mu.Unlock()
		return true
	}
	return false
}

// askOn puts a question about the server's account on a connection and gives
// the connection back.
func (u *Upstream) askOn(ctx context.Context, c *links.Conn, st statement.Statement) (statement.Account, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	r, err := u.Exchange(c, deadline, false, st)
	if err != nil {
		u.Discard(c)
		return statement.Account{}, err
	}
	u.Release(c)
	return accountOf(r, st)
}

// accountOf returns the account in an answer.
func accountOf(r statement.Reply, st statement.Statement) (statement.Account, error) {
	if r.Account == nil {
		return statement.Account{}, errors.Errorf("fleet: no account in the answer to %s: %s %s", st.Kind, r.Code, r.Detail)
	}
	account := *r.Account
	account.Applied = r.Position
	return account, nil
}

// members returns the servers of a group that fit, those of this data centre
// first. The lock must be held.
func (f *Fleet) members(id tables.GroupID, fits func(*Upstream) bool) []*Upstream {
	var near, far []*Upstream
	for _, u := range f.upstreams {
		switch {
		case u.entry.Group != id || !fits(u):
		case u.local:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	return append(near, far...)
}

// ask puts a question of the proxy's own about the server's account.
func (u *Upstream) ask(ctx context.Context, st statement.Statement) (statement.Account, error) {
	r, err := u.own(ctx, st)
	if err != nil {
		return statement.Account{}, err
	}
	return accountOf(r, st)
}

// own runs a statement of the proxy's own on a connection of the pool.
func (u *Upstream) own(ctx context.Context, st statement.Statement) (statement.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c, err := u.Connect(ctx)
	if err != nil {
		return statement.Reply{}, err
	}
	deadline, _ := ctx.Deadline()
	r, err := u.Exchange(c, deadline, false, st)
	if err != nil {
		u.Discard(c)
		return r, err
	}
	if st.Kind == statement.Reset {
		c.State = preparation.Connection{}
	}
	u.Release(c)
	if r.Code != statement.OK {
		return r, errors.Errorf("fleet: %s refused: %s %s", st.Kind, r.Code, r.Detail)
	}
	return r, nil
}

// refreshPoint asks the primary for its position. A reset costs it no slot.
func (f *Fleet) refreshPoint(ctx context.Context, l Leader) error {
	at := f.Now()
	r, err := l.Upstream.own(ctx, statement.Statement{Kind: statement.Reset})
	if err != nil {
		return err
	}
	f.Observe(l, at, r.Position)
	return nil
}

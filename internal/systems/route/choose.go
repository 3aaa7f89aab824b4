package route

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
)

const (
	// ConfirmPatience bounds the wait of one request for a confirmed point.
	ConfirmPatience = 250 * time.Millisecond
	// ReplicaPatience bounds the wait of one request for a replica to catch up.
	ReplicaPatience = 20 * time.Millisecond
	// NoPrimaryRetryAfter is told to callers while a group has no primary.
	NoPrimaryRetryAfter = 250 * time.Millisecond
	// NoFreshReplicaRetryAfter is told to callers whose stated age is out of reach.
	NoFreshReplicaRetryAfter = 500 * time.Millisecond
)

// Load tells how many statements this process runs on a server at the moment.
type Load interface {
	InFlight(tables.UpstreamID) int
}

// Request is what Choose decides on.
type Request struct {
	// Group is the database.
	Group tables.GroupID
	// Tags are the merged and resolved declarations.
	Tags *tags.Tags
	// Session is the position that the answer must have reached.
	Session tables.Position
	// Newest asks for a point confirmed after ArrivedAt, as a session that is not session.Complete needs.
	Newest bool
	// ArrivedAt is when the request was read from the caller.
	ArrivedAt tables.Time
	// Deadline is when the caller stops waiting; 0 means never.
	Deadline tables.Time
	// InTransaction says that the request opens or belongs to a transaction that may write.
	InTransaction bool
	// Tried are servers that failed this request and must not be chosen again.
	Tried []tables.UpstreamID
	// Load spreads reads; nil counts every server as idle.
	Load Load
	// Random decides between equal servers; the caller draws it for each call.
	Random uint64
}

// ForSession sets Session and Newest from s.
func (r *Request) ForSession(s session.Session) {
	r.Session = s.Token.Position(r.Group)
	r.Newest = !s.Complete
}

// Kind says what to do with a request.
type Kind uint8

const (
	// KindReplica runs the request on a replica.
	KindReplica Kind = iota
	// KindPrimary runs the request on the primary, under Term.
	KindPrimary
	// KindNeedConfirm waits for a point confirmed after Since, then chooses again.
	KindNeedConfirm
	// KindWaitReplica waits for new statuses, then chooses again.
	KindWaitReplica
	// KindRefuse answers with Err.
	KindRefuse
)

// String returns the label used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"replica", "primary", "need confirm", "wait replica", "refuse"}[k]
}

// Decision is what to do with a request.
type Decision struct {
	// Kind selects the fields that are valid.
	Kind Kind
	// Upstream runs the request; valid for KindReplica and KindPrimary.
	Upstream tables.UpstreamID
	// Term is the group's term; a statement on the primary carries it.
	Term tables.Term
	// MinPosition is what the server must have reached; valid for KindReplica and KindPrimary.
	MinPosition tables.Position
	// AsOf is when the newest confirmed point that the server has reached was sent,
	// which bounds the answer's age; valid for KindReplica.
	AsOf tables.Time
	// Since is the earliest SentAt of a point that helps; valid for KindNeedConfirm.
	Since tables.Time
	// Until bounds the wait; valid for KindNeedConfirm and KindWaitReplica.
	Until tables.Time
	// Err is the refusal; valid for KindRefuse.
	Err *codes.Error
}

// Choose decides on r. It is pure and safe for concurrent use.
func Choose(now tables.Time, s *Snapshot, r *Request) Decision {
	g, ok := s.Group(r.Group)
	if !ok {
		return refuse(codes.UnknownService, 0, "the database group is not configured")
	}
	if r.Tags.MaxAge == nil || r.InTransaction {
		return choosePrimary(now, g, r)
	}
	return chooseRead(now, g, r)
}

// choosePrimary serves writes, transactions and undeclared requests. Their
// answers are acknowledged only after the term was confirmed again. A primary
// that is leaving keeps its work until the planned change of term.
func choosePrimary(now tables.Time, g *Group, r *Request) Decision {
	m, ok := g.primaryMember()
	if !ok || m.Failing || tried(r, m.ID) {
		return refuse(codes.NoPrimary, NoPrimaryRetryAfter, "")
	}
	if r.Session.LogTerm > g.Term {
		// The session has seen a later primary than this process knows of.
		return refuse(codes.NoPrimary, NoPrimaryRetryAfter, "the session has seen a later primary")
	}
	return Decision{Kind: KindPrimary, Upstream: m.ID, Term: g.Term, MinPosition: r.Session}
}

func chooseRead(now tables.Time, g *Group, r *Request) Decision {
	cut := oldestAllowed(now, r)
	point, ok := g.pointSince(cut)
	if !ok {
		return needConfirm(now, g, r, cut)
	}
	need := point.Position
	if !need.AtLeast(r.Session) {
		need = r.Session
	}
	if m := pickReplica(g, r, need); m != nil {
		return Decision{Kind: KindReplica, Upstream: m.ID, Term: g.Term, MinPosition: need, AsOf: g.reachedAt(m.Position)}
	}
	if until := r.waitUntil(ReplicaPatience); now < until && worthWaiting(g, r) {
		return Decision{Kind: KindWaitReplica, Until: until}
	}
	return beyondReach(now, g, r, cut)
}

// oldestAllowed returns the earliest SentAt of a confirmed point that keeps
// the stated age. A request that waits is never asked for a point sent after
// its arrival, so that an age of 0s can be met.
func oldestAllowed(now tables.Time, r *Request) tables.Time {
	if r.Newest {
		return r.ArrivedAt
	}
	return min(r.ArrivedAt, now.Add(-*r.Tags.MaxAge))
}

// needConfirm waits for a point sent at or after cut; a primary that nobody
// confirms is never read from, however well it answers.
func needConfirm(now tables.Time, g *Group, r *Request, cut tables.Time) Decision {
	if until := r.waitUntil(ConfirmPatience); now < until && g.Primary != "" {
		return Decision{Kind: KindNeedConfirm, Since: cut, Until: until}
	}
	return refuse(codes.NoFreshReplica, NoFreshReplicaRetryAfter, "")
}

// beyondReach serves a read that no replica can. The primary answers it if a
// point of its term was sent at or after cut: it holds that point itself, so
// its answer keeps the stated age even if it is replaced meanwhile.
func beyondReach(now tables.Time, g *Group, r *Request, cut tables.Time) Decision {
	if newest := g.Points[0]; newest.Term != g.Term {
		return needConfirm(now, g, r, cut)
	}
	if d := choosePrimary(now, g, r); d.Kind == KindPrimary {
		return d
	}
	return refuse(codes.NoFreshReplica, NoFreshReplicaRetryAfter, "")
}

// worthWaiting reports whether any replica could still catch up.
func worthWaiting(g *Group, r *Request) bool {
	for i := range g.Members {
		if usable(g, &g.Members[i], r) {
			return true
		}
	}
	return false
}

// pickReplica returns a replica that has reached need: one in the own data
// centre with a free slot if there is any, else the less loaded of two.
func pickReplica(g *Group, r *Request, need tables.Position) *Member {
	if m := pickAmong(g, r, need, true); m != nil {
		return m
	}
	return pickAmong(g, r, need, false)
}

// pickAmong makes the power of two choices among the replicas that have
// reached need. With local set, it looks at the own data centre only and skips
// servers whose slots this process fills alone.
func pickAmong(g *Group, r *Request, need tables.Position, local bool) *Member {
	n := 0
	for i := range g.Members {
		if eligible(g, r, i, need, local) {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	first := int(r.Random % uint64(n))
	second := first
	if n > 1 {
		second = (first + 1 + int((r.Random>>32)%uint64(n-1))) % n
	}
	a, b := nth(g, r, need, local, first), nth(g, r, need, local, second)
	if inFlight(r, b.ID) < inFlight(r, a.ID) {
		return b
	}
	return a
}

func eligible(g *Group, r *Request, i int, need tables.Position, local bool) bool {
	m := &g.Members[i]
	if local && (!m.Local || m.Slots > 0 && inFlight(r, m.ID) >= m.Slots) {
		return false
	}
	return usable(g, m, r) && m.Known && m.Position.AtLeast(need)
}

// nth returns the eligible member number n, from 0.
func nth(g *Group, r *Request, need tables.Position, local bool, n int) *Member {
	for i := range g.Members {
		if !eligible(g, r, i, need, local) {
			continue
		}
		if n == 0 {
			return &g.Members[i]
		}
		n--
	}
	return nil
}

func usable(g *Group, m *Member, r *Request) bool {
	return m.ID != g.Primary && !m.ClaimsPrimary && !m.Leaving && !m.Failing && !tried(r, m.ID)
}

func tried(r *Request, id tables.UpstreamID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

func inFlight(r *Request, id tables.UpstreamID) int {
	if r.Load == nil {
		return 0
	}
	return r.Load.InFlight(id)
}

// waitUntil returns when a wait of r ends: patience after its arrival, or half
// way to its deadline, so that there is time left to run it.
func (r *Request) waitUntil(patience time.Duration) tables.Time {
	until := r.ArrivedAt.Add(patience)
	if r.Deadline == 0 {
		return until
	}
	return min(until, r.ArrivedAt.Add(r.Deadline.Sub(r.ArrivedAt)/2))
}

func refuse(c codes.Code, retryAfter time.Duration, detail string) Decision {
	return Decision{Kind: KindRefuse, Err: codes.New(c, codes.NotRun, retryAfter, detail)}
}

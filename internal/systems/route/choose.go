package route

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
)

const (
	// ConfirmTimeout is the maximum wait of one request for a confirmed point.
	ConfirmTimeout = 250 * time.Millisecond
	// ReplicaTimeout is the maximum wait of one request for a replica to catch up.
	ReplicaTimeout = 20 * time.Millisecond
	// NoPrimaryRetryAfter is the retry delay sent to callers while a group has no primary.
	NoPrimaryRetryAfter = 250 * time.Millisecond
	// NoFreshReplicaRetryAfter is the retry delay sent to callers when no server
	// can meet the maximum age of their read.
	NoFreshReplicaRetryAfter = 500 * time.Millisecond
)

// Load reports how many statements this process is running on a server.
type Load interface {
	InFlight(tables.UpstreamID) int
}

// Request is the input of Choose.
type Request struct {
	// Group is the database group that the request addresses.
	Group tables.GroupID
	// Tags are the request's declarations, merged and resolved.
	Tags *tags.Tags
	// Session is the log position that the chosen server must have reached.
	Session tables.Position
	// Newest requires a point confirmed after ArrivedAt, as needed by a session
	// that is not session.Complete.
	Newest bool
	// ArrivedAt is when the request was read from the caller.
	ArrivedAt tables.Time
	// Deadline is when the caller stops waiting; 0 means never.
	Deadline tables.Time
	// InTransaction reports whether the request opens or belongs to a transaction that may write.
	InTransaction bool
	// Tried are servers that failed this request and must not be chosen again.
	Tried []tables.UpstreamID
	// Load is used to balance reads; nil treats every server as idle.
	Load Load
	// Random breaks ties between servers; the caller sets a new value for each call.
	Random uint64
}

// ForSession sets Session and Newest from s.
func (r *Request) ForSession(s session.Session) {
	r.Session = s.Token.Position(r.Group)
	r.Newest = !s.Complete
}

// Kind is the type of a Decision.
type Kind uint8

const (
	// KindReplica means: run the request on a replica.
	KindReplica Kind = iota
	// KindPrimary means: run the request on the primary, under Term.
	KindPrimary
	// KindNeedConfirm means: wait for a point confirmed after Since, then call Choose again.
	KindNeedConfirm
	// KindWaitReplica means: wait for new replica statuses, then call Choose again.
	KindWaitReplica
	// KindRefuse means: reply with Err.
	KindRefuse
)

// String returns the label used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"replica", "primary", "need confirm", "wait replica", "refuse"}[k]
}

// Decision states how a request is to be handled.
type Decision struct {
	// Kind determines which of the other fields are valid.
	Kind Kind
	// Upstream runs the request; valid for KindReplica and KindPrimary.
	Upstream tables.UpstreamID
	// Term is the group's term; it is sent with a statement to the primary.
	Term tables.Term
	// MinPosition is the log position that the server must have reached; valid for
	// KindReplica and KindPrimary.
	MinPosition tables.Position
	// AsOf is the SentAt of the newest confirmed point that the server has reached.
	// It bounds the age of the data returned; valid for KindReplica.
	AsOf tables.Time
	// Since is the earliest SentAt that a point must have; valid for KindNeedConfirm.
	Since tables.Time
	// Until is the end of the wait; valid for KindNeedConfirm and KindWaitReplica.
	Until tables.Time
	// Err is the refusal; valid for KindRefuse.
	Err *codes.Error
}

// Choose decides how r is handled. It is a pure function and safe for concurrent use.
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

// choosePrimary handles writes, transactions and requests without a declared
// maximum age. Their results are acknowledged only after the term has been
// confirmed again. A primary that is leaving still receives requests until it
// is replaced in a planned move.
func choosePrimary(now tables.Time, g *Group, r *Request) Decision {
	m, ok := g.primaryMember()
	if !ok || m.Failing || tried(r, m.ID) {
		return refuse(codes.NoPrimary, NoPrimaryRetryAfter, "")
	}
	if r.Session.LogTerm > g.Term {
		// The session has used a newer primary than the one in this snapshot.
		return refuse(codes.NoPrimary, NoPrimaryRetryAfter, "the session has seen a later primary")
	}
	return Decision{Kind: KindPrimary, Upstream: m.ID, Term: g.Term, MinPosition: r.Session}
}

func chooseRead(now tables.Time, g *Group, r *Request) Decision {
	notBefore := earliestSentAt(now, r)
	point, ok := g.pointSince(notBefore)
	if !ok {
		return needConfirm(now, g, r, notBefore)
	}
	required := point.Position
	if !required.AtLeast(r.Session) {
		required = r.Session
	}
	if m := pickReplica(g, r, required); m != nil {
		return Decision{Kind: KindReplica, Upstream: m.ID, Term: g.Term, MinPosition: required, AsOf: g.reachedAt(m.Position)}
	}
	if until := r.waitUntil(ReplicaTimeout); now < until && anyUsableReplica(g, r) {
		return Decision{Kind: KindWaitReplica, Until: until}
	}
	return choosePrimaryForRead(now, g, r, notBefore)
}

// earliestSentAt returns the earliest SentAt of a confirmed point that satisfies
// the maximum age of r. A waiting request never requires a point sent after its
// arrival; otherwise a maximum age of 0s could not be met.
func earliestSentAt(now tables.Time, r *Request) tables.Time {
	if r.Newest {
		return r.ArrivedAt
	}
	return min(r.ArrivedAt, now.Add(-*r.Tags.MaxAge))
}

// needConfirm waits for a point sent at or after notBefore. A primary that is not
// confirmed by a majority is never read from, even if it responds.
func needConfirm(now tables.Time, g *Group, r *Request, notBefore tables.Time) Decision {
	if until := r.waitUntil(ConfirmTimeout); now < until && g.Primary != "" {
		return Decision{Kind: KindNeedConfirm, Since: notBefore, Until: until}
	}
	return refuse(codes.NoFreshReplica, NoFreshReplicaRetryAfter, "")
}

// choosePrimaryForRead handles a read that no replica can serve. The primary
// serves it if a point of its term was sent at or after notBefore: the primary has
// that point in its own log, so its result meets the maximum age even if it is
// replaced in the meantime.
func choosePrimaryForRead(now tables.Time, g *Group, r *Request, notBefore tables.Time) Decision {
	if newest := g.Points[0]; newest.Term != g.Term {
		return needConfirm(now, g, r, notBefore)
	}
	if d := choosePrimary(now, g, r); d.Kind == KindPrimary {
		return d
	}
	return refuse(codes.NoFreshReplica, NoFreshReplicaRetryAfter, "")
}

// anyUsableReplica reports whether there is a replica that could still catch up.
func anyUsableReplica(g *Group, r *Request) bool {
	for i := range g.Members {
		if usable(g, &g.Members[i], r) {
			return true
		}
	}
	return false
}

// pickReplica returns a replica that has reached the position required. It
// prefers replicas in the local data centre with a free slot.
func pickReplica(g *Group, r *Request, required tables.Position) *Member {
	if m := pickAmong(g, r, required, true); m != nil {
		return m
	}
	return pickAmong(g, r, required, false)
}

// pickAmong picks two random replicas that have reached the position required
// and returns the less loaded one (power of two choices). With local set, it
// considers only the local data centre and skips servers whose slots are all in
// use by this process.
func pickAmong(g *Group, r *Request, required tables.Position, local bool) *Member {
	n := 0
	for i := range g.Members {
		if eligible(g, r, i, required, local) {
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
	a, b := nthEligible(g, r, required, local, first), nthEligible(g, r, required, local, second)
	if inFlight(r, b.ID) < inFlight(r, a.ID) {
		return b
	}
	return a
}

func eligible(g *Group, r *Request, i int, required tables.Position, local bool) bool {
	m := &g.Members[i]
	if local && (!m.Local || m.Slots > 0 && inFlight(r, m.ID) >= m.Slots) {
		return false
	}
	return usable(g, m, r) && m.Known && m.Position.AtLeast(required)
}

// nthEligible returns the n-th eligible member, counting from 0.
func nthEligible(g *Group, r *Request, required tables.Position, local bool, n int) *Member {
	for i := range g.Members {
		if !eligible(g, r, i, required, local) {
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

// waitUntil returns the end of a wait of r: timeout after its arrival, but no
// later than halfway to its deadline, so that there is time left to run it.
func (r *Request) waitUntil(timeout time.Duration) tables.Time {
	until := r.ArrivedAt.Add(timeout)
	if r.Deadline == 0 {
		return until
	}
	return min(until, r.ArrivedAt.Add(r.Deadline.Sub(r.ArrivedAt)/2))
}

func refuse(c codes.Code, retryAfter time.Duration, detail string) Decision {
	return Decision{Kind: KindRefuse, Err: codes.New(c, codes.NotRun, retryAfter, detail)}
}

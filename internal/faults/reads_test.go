package faults

import (
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/systems/action"
	"github.com/cranberrystage/cranberrystage/internal/systems/route"
	"github.com/cranberrystage/cranberrystage/internal/systems/session"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/cranberrystage/cranberrystage/internal/tags"
)

const (
	readSessions = 4
	// readEvery is the time between two reads of one session.
	readEvery = 25 * time.Millisecond
	// readRetry is the time between two attempts to choose an upstream for a read.
	readRetry = 5 * time.Millisecond
	// readConfirmWait is the max wait for the confirmation of the primary's answer.
	readConfirmWait = time.Second
)

const (
	stepReadChosen   step = "read: upstream chosen"
	stepReadServed   step = "read: served"
	stepReadAnswered step = "read: answer received"
)

// sessionKind is how a read identifies its session.
type sessionKind uint8

const (
	// byToken sends the session's token.
	byToken sessionKind = iota
	// byName sends only the session's name.
	byName
	// noSession sends neither; the read need not see the session's own writes.
	noSession
)

// readKind is how a caller declares a read.
type readKind struct {
	name string
	// session is how it identifies its session.
	session sessionKind
	// maxAge is the declared max age; nil requests the newest data.
	maxAge *time.Duration
}

func age(d time.Duration) *time.Duration { return &d }

// readKinds returns the kinds of reads that each session issues in turn.
func readKinds() []readKind {
	return []readKind{
		{name: "token, 10s", maxAge: age(10 * time.Second)},
		{name: "token, 500ms", maxAge: age(500 * time.Millisecond)},
		{name: "token, 0s", maxAge: age(0)},
		{name: "token, no age"},
		{name: "name, 10s", session: byName, maxAge: age(10 * time.Second)},
		{name: "name, no age", session: byName},
		{name: "none, 500ms", session: noSession, maxAge: age(500 * time.Millisecond)},
		{name: "none, 0s", session: noSession, maxAge: age(0)},
	}
}

// readRules are the conditions under which reads are chosen and answered.
type readRules struct {
	// declare returns the session and the max age that the proxy uses.
	declare func(session.Session, *time.Duration) (session.Session, *time.Duration)
	// snapshot builds the snapshot for route.Choose.
	snapshot func(now tables.Time, w *tables.World, previous *route.Snapshot) *route.Snapshot
	// skipAgeCheck skips the check of a replica's answer against the declared max age.
	skipAgeCheck bool
	// unconfirmed returns the primary's answer without a confirmation.
	unconfirmed bool
}

func strictReads() readRules {
	return readRules{
		declare: func(s session.Session, a *time.Duration) (session.Session, *time.Duration) {
			return s, a
		},
		snapshot: route.Build,
	}
}

// readSession is a caller that reads its own writes through varying proxies.
type readSession struct {
	token  session.Token
	writes []acknowledgement
	next   int // counts the reads, to take the kinds in turn
}

// readLoad runs the sessions of one simulation.
type readLoad struct {
	sim       *simulation
	rules     readRules
	sessions  []*readSession
	snapshots map[*proxy]*route.Snapshot
	// polledAt is when a proxy last probed all servers for a read.
	polledAt map[*proxy]tables.Time
	answers  []readAnswer
}

// readAnswer is an answer that was returned to a caller.
type readAnswer struct {
	kind    string
	by      tables.VMID
	at      tables.Time
	replica bool
}

func newReadLoad(s *simulation, rules readRules) *readLoad {
	l := &readLoad{sim: s, rules: rules, snapshots: make(map[*proxy]*route.Snapshot), polledAt: make(map[*proxy]tables.Time)}
	for range readSessions {
		rs := &readSession{}
		l.sessions = append(l.sessions, rs)
		s.after(s.jitter(readEvery), func() { l.issue(rs) })
	}
	s.onAcknowledged = l.acknowledged
	s.onTick = func(p *proxy) { l.snapshots[p] = rules.snapshot(s.now, p.world, l.snapshots[p]) }
	return l
}

// acknowledged assigns an acknowledged write to the session that sent it.
func (l *readLoad) acknowledged(a acknowledgement) {
	rs := l.sessions[a.commit.ID%readSessions]
	rs.token = rs.token.With(testGroup, a.commit.Position)
	rs.writes = append(rs.writes, a)
}

// issue sends the session's next read to a random proxy.
func (l *readLoad) issue(rs *readSession) {
	s := l.sim
	s.after(readEvery, func() { l.issue(rs) })
	kinds := readKinds()
	kind := kinds[rs.next%len(kinds)]
	rs.next++
	p := s.proxies[s.random.IntN(len(s.proxies))]
	tag, own := rs.declare(kind.session)
	s.after(s.jitter(crossDataCentreLatency), func() {
		p.receive(func() { l.arrive(p, kind, tag, own) })
	})
}

// declare returns the tag that identifies the session, and the writes that its
// read must see.
func (rs *readSession) declare(k sessionKind) (tag string, own []acknowledgement) {
	switch k {
	case byToken:
		return rs.token.String(), rs.writes
	case byName:
		return "driver", rs.writes
	default:
		return "", nil
	}
}

// poll probes all servers immediately, so that a point newer than that of the
// regular probes can be confirmed.
func (l *readLoad) poll(p *proxy) {
	if at, ok := l.polledAt[p]; ok && l.sim.now.Sub(at) < readRetry {
		return
	}
	l.polledAt[p] = l.sim.now
	for _, srv := range l.sim.servers {
		p.probe(action.Probe{Upstream: srv.id})
	}
}

// read is one read that a proxy is processing.
type read struct {
	load  *readLoad
	proxy *proxy
	kind  readKind
	// own are the session's writes that the read must see.
	own     []acknowledgement
	request route.Request
	// decision is the last decision of route.Choose and chosenAt its time.
	decision route.Decision
	chosenAt tables.Time
	// lacking are the writes that the server lacked when it served the read.
	lacking missingWrites
}

func (l *readLoad) arrive(p *proxy, kind readKind, tag string, own []acknowledgement) {
	if p.down || l.snapshots[p] == nil {
		return
	}
	declared, err := session.FromTag(tag)
	if err != nil {
		panic(err)
	}
	declared, maxAge := l.rules.declare(declared, kind.maxAge)
	r := &read{load: l, proxy: p, kind: kind, own: own}
	r.request = route.Request{Group: testGroup, Tags: &tags.Tags{MaxAge: maxAge}, ArrivedAt: l.sim.now}
	r.request.ForSession(declared)
	r.choose()
}

// choose calls route.Choose until it returns an upstream or refuses.
func (r *read) choose() {
	s := r.load.sim
	if r.proxy.down {
		return
	}
	r.request.Random = s.random.Uint64()
	d := route.Choose(s.now, r.load.snapshots[r.proxy], &r.request)
	switch d.Kind {
	case route.KindReplica, route.KindPrimary:
		r.decision, r.chosenAt = d, s.now
		s.notifyStep(stepReadChosen, r.proxy)
		r.send()
	case route.KindNeedConfirm, route.KindWaitReplica:
		r.load.poll(r.proxy)
		r.later(r.choose)
	}
}

func (r *read) later(do func()) {
	r.load.sim.after(readRetry, func() { r.proxy.receive(do) })
}

func (r *read) send() {
	if r.proxy.down {
		return
	}
	s, started := r.load.sim, r.load.sim.now
	s.request(r.proxy, r.decision.Upstream, false, requestTimeout, r.serve, func(rep reply) {
		s.notifyStep(stepReadAnswered, r.proxy)
		r.received(rep, started)
	})
}

// serve runs the read on a server. A statement for the primary includes the term,
// and any other server refuses it.
func (r *read) serve(srv *server) reply {
	st := srv.state.Status()
	if r.decision.Kind == route.KindPrimary && (st.Role != tables.RolePrimary || st.Fenced != r.decision.Term) {
		return reply{cause: tables.CauseRefused}
	}
	r.lacking = r.load.findMissing(srv.state, r)
	r.load.sim.notifyStep(stepReadServed, r.proxy)
	return reply{status: st}
}

// received processes the reply as the statement path does: after a failure of a
// replica it chooses again, and if a replica's answer is too old on arrival it
// requests the newest data.
func (r *read) received(rep reply, started tables.Time) {
	replica := r.decision.Kind == route.KindReplica
	switch {
	case r.proxy.down, rep.cause.Failing() && !replica:
	case rep.cause.Failing():
		r.request.Tried = append(r.request.Tried, r.decision.Upstream)
		r.choose()
	case replica && !r.load.rules.skipAgeCheck && r.decision.AsOf < r.oldest(r.request.Tags.MaxAge):
		r.request.Tags = &tags.Tags{}
		r.choose()
	case replica || r.load.rules.unconfirmed:
		r.answer()
	default:
		r.confirm(started)
	}
}

// confirm returns the primary's answer once a confirmed point shows that the
// primary still led its term late enough for the read.
func (r *read) confirm(started tables.Time) {
	s := r.load.sim
	g, ok := r.load.snapshots[r.proxy].Group(testGroup)
	if r.proxy.down || !ok || g.Term != r.decision.Term || s.now.Sub(started) > readConfirmWait {
		return
	}
	since := started
	if a := r.request.Tags.MaxAge; a != nil {
		since = min(started, s.now.Add(-*a))
	}
	if len(g.Points) > 0 && g.Points[0].Term == g.Term && g.Points[0].SentAt >= since {
		r.answer()
		return
	}
	r.load.poll(r.proxy)
	r.later(func() { r.confirm(started) })
}

// oldest returns the time up to which an answer returned now must include all
// acknowledged writes.
func (r *read) oldest(maxAge *time.Duration) tables.Time {
	if maxAge == nil {
		return r.request.ArrivedAt
	}
	return min(r.request.ArrivedAt, r.load.sim.now.Add(-*maxAge))
}

// answered reports whether a proxy has answered a read of the kind since
// the given time.
func (l *readLoad) answered(by tables.VMID, kind string, since tables.Time) bool {
	return slices.ContainsFunc(l.answers, func(a readAnswer) bool {
		return a.by == by && a.kind == kind && a.at >= since
	})
}

// replicaAnsweredSince reports whether a replica answered a read since the
// given time.
func (l *readLoad) replicaAnsweredSince(since tables.Time) bool {
	return slices.ContainsFunc(l.answers, func(a readAnswer) bool { return a.replica && a.at >= since })
}

// unanswered returns a running proxy and a kind of read that it has not answered
// since the given time.
func (l *readLoad) unanswered(since tables.Time) (by tables.VMID, kind string, found bool) {
	for _, p := range running(l.sim) {
		for _, k := range readKinds() {
			if !l.answered(p.world.Self, k.name, since) {
				return p.world.Self, k.name, true
			}
		}
	}
	return "", "", false
}

// allAnswered reports whether every running proxy has answered every kind of read
// since the given time.
func (l *readLoad) allAnswered(since tables.Time) bool {
	_, _, found := l.unanswered(since)
	return !found
}

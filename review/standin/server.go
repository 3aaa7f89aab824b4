//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a place in a server's log.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p == (position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

func parsePosition(s string) position {
	var p position
	t, n, _ := strings.Cut(s, ".")
	p.term, _ = strconv.ParseUint(t, 10, 64)
	p.number, _ = strconv.ParseUint(n, 10, 64)
	return p
}

// change is one write of a commit.
type change struct{ id, item, data string }

// commit is one entry of a log.
type commit struct {
	at      position
	changes []change
}

// group is a service: a primary and its replicas.
type group struct {
	rec     *recorder
	store   *store
	name    string
	secret  string
	promote time.Duration
	// lag is how long after its receipt a replica applies a commit.
	lag time.Duration
	// work is how long a read, write or commit takes.
	work time.Duration

	mu      sync.Mutex
	servers []*dbServer
	runs    []run
}

// run is a statement that a server ran.
type run struct {
	at     time.Duration
	server string
	id     string
	text   string
}

// dbServer is one database server.
type dbServer struct {
	g        *group
	id, zone string
	listener net.Listener
	address  string
	slots    int
	// running holds a token for each statement that occupies a slot.
	running chan struct{}

	// The group's lock guards what follows.
	alive, leads, draining bool
	term, held             uint64
	log                    []commit
	applied                int
	seq                    uint64
	conns                  map[net.Conn]bool
	// born is when the server started, in Unix milliseconds.
	born int64
}

func newGroup(rec *recorder, st *store, name string) *group {
	return &group{rec: rec, store: st, name: name, secret: "s-" + name, promote: 500 * time.Millisecond, lag: 60 * time.Millisecond, work: 2 * time.Millisecond}
}

// addServer starts a server. The first one leads term 1; a later one begins with the log
// of the first replica.
func (g *group) addServer(id, ip, zone string) (*dbServer, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	s := &dbServer{g: g, id: id, zone: zone, listener: l, address: l.Addr().String(), slots: slots, running: make(chan struct{}, slots), alive: true,
		leads: len(g.servers) == 0, term: 1, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli()}
	for _, o := range g.servers {
		if o.alive && !o.leads {
			s.term, s.log = o.term, append([]commit{}, o.log...)
			s.applied = o.applied
			break
		}
	}
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	g.rec.add("server %s starts", id)
	go s.accept(l)
	go s.beat()
	return s, nil
}

const (
	heartbeat = 1200 * time.Millisecond
	// controlWork is how long a status query or the like takes.
	controlWork = 4 * time.Millisecond
	// slots is how many statements a server runs at the same time.
	slots = 3
)

// beat writes the server's entry at intervals.
func (s *dbServer) beat() {
	for {
		s.g.mu.Lock()
		alive := s.alive
		s.g.mu.Unlock()
		if !alive {
			return
		}
		s.writeEntry()
		time.Sleep(heartbeat)
	}
}

func (s *dbServer) writeEntry() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if !s.alive {
		return
	}
	s.seq++
	role, state := "replica", "ready"
	if s.leads {
		role = "primary"
	}
	if s.draining {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"backend": s.g.name, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"warmupLeftMs": 0, "dbRole": role, "seq": s.seq, "born": s.born,
	})
	s.g.store.put("servers", s.id, value)
}

// drain reports that the server is going to stop.
func (s *dbServer) drain() {
	s.g.mu.Lock()
	s.draining = true
	s.g.mu.Unlock()
	s.writeEntry()
	s.g.rec.add("server %s is draining", s.id)
}

// stop ends the server: its connections break and its entry lapses.
func (s *dbServer) stop() {
	s.g.mu.Lock()
	s.alive = false
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.g.mu.Unlock()
	s.g.rec.add("server %s stops", s.id)
	time.AfterFunc(3*heartbeat, func() {
		s.g.mu.Lock()
		defer s.g.mu.Unlock()
		if !s.alive {
			s.g.store.drop("servers", s.id)
		}
	})
}

func (s *dbServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.g.mu.Lock()
		if !s.alive {
			c.Close()
		}
		s.conns[c] = true
		s.g.mu.Unlock()
		go func() {
			s.serve(c)
			c.Close()
			s.g.mu.Lock()
			delete(s.conns, c)
			s.g.mu.Unlock()
		}()
	}
}

// received returns the newest position in the log. The lock must be held.
func (s *dbServer) received() position {
	if len(s.log) == 0 {
		return position{term: 1}
	}
	return s.log[len(s.log)-1].at
}

// appliedAt returns the newest position applied. The lock must be held.
func (s *dbServer) appliedAt() position {
	if s.leads {
		return s.received()
	}
	if s.applied == 0 {
		return position{term: 1}
	}
	return s.log[s.applied-1].at
}

// value returns an item's data as applied. The lock must be held.
func (s *dbServer) value(item string) string {
	n := s.applied
	if s.leads {
		n = len(s.log)
	}
	for i := n - 1; i >= 0; i-- {
		for j := len(s.log[i].changes) - 1; j >= 0; j-- {
			if c := s.log[i].changes[j]; c.item == item {
				return c.data
			}
		}
	}
	return "initial"
}

// mac returns the proof of an answer.
func (g *group) mac(server, id, text string, rows []string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%s|%s|%s|%q", g.secret, server, id, text, rows)
	return fmt.Sprintf("%s.%x", server, h.Sum64())
}

// dbSession is the state of one connection to a server.
type dbSession struct {
	values   map[string]string
	prepared map[string]string
	state    byte
	readOnly bool
	writes   []change
}

func (s *dbServer) serve(c net.Conn) {
	in := bufio.NewReader(c)
	line, err := readMessage(in)
	if err != nil {
		return
	}
	f := strings.Split(line, " ")
	if len(f) < 3 || f[0] != "START" || f[1] != s.g.name || len(f) > 3 && f[3] != s.id {
		fmt.Fprintf(c, "ERR MISROUTED %s\r\n", s.id)
		return
	}
	s.g.mu.Lock()
	at := s.appliedAt()
	s.g.mu.Unlock()
	fmt.Fprintf(c, "READY I %s\r\n", at)
	ses := &dbSession{values: map[string]string{}, prepared: map[string]string{}, state: 'I'}
	for {
		line, err := readMessage(in)
		if err != nil {
			return
		}
		verb, rest := word(line)
		if verb != "QUERY" {
			return
		}
		id, text := word(rest)
		out := s.query(ses, id, text)
		if out == "" {
			return
		}
		if _, err := c.Write([]byte(out)); err != nil {
			return
		}
	}
}

// answer returns an answer's lines.
func (s *dbServer) answer(ses *dbSession, rows []string, end string) string {
	out := ""
	for _, r := range rows {
		out += "ROW " + r + "\r\n"
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return out + end + "\r\n" + fmt.Sprintf("READY %c %s\r\n", ses.state, s.appliedAt())
}

// refuse returns an error's lines. In a transaction the transaction has failed.
func (s *dbServer) refuse(ses *dbSession, code, why string) string {
	if ses.state == 'T' {
		ses.state = 'E'
	}
	return s.answer(ses, nil, "ERR "+code+" "+why)
}

// query runs one statement and returns its answer.
func (s *dbServer) query(ses *dbSession, id, text string) string {
	var after position
	if v, rest := word(text); v == "AFTER" {
		var p string
		p, text = word(rest)
		after = parsePosition(p)
	}
	verb, rest := word(text)
	if ses.state == 'E' && verb != "COMMIT" && verb != "ROLLBACK" {
		return s.refuse(ses, "BAD", "failed")
	}
	canonical := text
	switch verb {
	case "EXEC":
		name, arguments := word(rest)
		definition, ok := ses.prepared[name]
		if !ok {
			return s.refuse(ses, "NOSTMT", name)
		}
		mode, shape := word(definition)
		canonical = "EXEC " + shape + " " + arguments
		verb, rest = mode, arguments
	}
	switch verb {
	case "BEGIN":
		return s.begin(ses, rest == "READ", after)
	case "READ":
		return s.read(ses, id, canonical, rest, after)
	case "WRITE":
		return s.write(ses, id, canonical, rest)
	case "COMMIT":
		return s.commit(ses, id, canonical)
	case "ROLLBACK":
		ses.state, ses.writes = 'I', nil
		return s.answer(ses, nil, "DONE -")
	case "SET":
		name, value := word(rest)
		ses.values[name] = value
		return s.answer(ses, nil, "DONE -")
	case "PREPARE":
		name, definition := word(rest)
		ses.prepared[name] = definition
		return s.answer(ses, nil, "DONE -")
	case "FORGET":
		delete(ses.prepared, rest)
		return s.answer(ses, nil, "DONE -")
	case "RESET":
		ses.values, ses.prepared = map[string]string{}, map[string]string{}
		return s.answer(ses, nil, "DONE -")
	case "STATUS", "HOLD", "RESUME", "DEMOTE":
		return s.control(ses, verb, rest)
	}
	return s.refuse(ses, "BAD", "unknown")
}

func (s *dbServer) begin(ses *dbSession, readOnly bool, after position) string {
	s.g.mu.Lock()
	leads, behind := s.leads, s.appliedAt().less(after)
	s.g.mu.Unlock()
	switch {
	case behind:
		return s.refuse(ses, "BEHIND", s.id)
	case !readOnly && !leads:
		return s.refuse(ses, "READONLY", s.id)
	}
	ses.state, ses.readOnly, ses.writes = 'T', readOnly, nil
	return s.answer(ses, nil, "DONE -")
}

// occupy waits for a slot and occupies it for the time d.
func (s *dbServer) occupy(d time.Duration) {
	s.running <- struct{}{}
	time.Sleep(d)
	<-s.running
}

// ran records that a statement ran.
func (s *dbServer) ran(id, text string) {
	s.g.mu.Lock()
	s.g.runs = append(s.g.runs, run{s.g.rec.now(), s.id, id, text})
	s.g.mu.Unlock()
	s.g.rec.add("server %s runs %s %q", s.id, id, text)
}

func (s *dbServer) read(ses *dbSession, id, text, item string, after position) string {
	s.occupy(s.g.work)
	s.g.mu.Lock()
	behind := s.appliedAt().less(after)
	deposed := ses.state == 'T' && !ses.readOnly && !s.leads
	data := s.value(item)
	for _, w := range ses.writes {
		if w.item == item {
			data = w.data
		}
	}
	s.g.mu.Unlock()
	switch {
	case behind:
		return s.refuse(ses, "BEHIND", s.id)
	case deposed:
		return s.refuse(ses, "READONLY", s.id)
	}
	s.ran(id, text)
	rows := []string{data}
	return s.answer(ses, rows, "DONE "+s.g.mac(s.id, id, text, rows))
}

func (s *dbServer) write(ses *dbSession, id, text, rest string) string {
	s.occupy(s.g.work)
	item, data := word(rest)
	s.g.mu.Lock()
	leads := s.leads
	s.g.mu.Unlock()
	if !leads || ses.state == 'T' && ses.readOnly {
		return s.refuse(ses, "READONLY", s.id)
	}
	s.ran(id, text)
	ses.writes = append(ses.writes, change{id, item, data})
	if ses.state == 'I' && !s.keep(ses) {
		return ""
	}
	return s.answer(ses, nil, "DONE "+s.g.mac(s.id, id, text, nil))
}

func (s *dbServer) commit(ses *dbSession, id, text string) string {
	s.occupy(s.g.work)
	if ses.state != 'T' {
		ses.state, ses.writes = 'I', nil
		return s.answer(ses, nil, "ERR ABORTED not open")
	}
	s.g.mu.Lock()
	leads := s.leads
	s.g.mu.Unlock()
	if len(ses.writes) > 0 && !leads {
		return s.refuse(ses, "READONLY", s.id)
	}
	s.ran(id, text)
	if len(ses.writes) > 0 && !s.keep(ses) {
		return ""
	}
	ses.state = 'I'
	return s.answer(ses, nil, "DONE "+s.g.mac(s.id, id, text, nil))
}

// keep commits the session's writes. It returns once a replica has received them, and
// false if the server ends or loses the lead before: then the answer is lost.
func (s *dbServer) keep(ses *dbSession) bool {
	g := s.g
	g.mu.Lock()
	next := s.received()
	if next.term < s.term {
		next = position{s.term, next.number}
	}
	next.number++
	c := commit{at: next, changes: ses.writes}
	ses.writes = nil
	s.log = append(s.log, c)
	s.applied = len(s.log)
	g.mu.Unlock()
	g.rec.add("server %s commits %s: %q", s.id, next, c.changes)
	for {
		g.mu.Lock()
		alive, received := s.alive && s.leads, false
		for _, r := range g.servers {
			g.feed(s, r)
			received = received || r != s && r.alive && !r.leads && r.term == s.term && !r.received().less(next)
		}
		g.mu.Unlock()
		if received {
			return true
		}
		if !alive {
			return false
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// feed sends a primary's commits to a replica that receives. The lock must be held.
func (g *group) feed(from, to *dbServer) {
	if to == from || !from.alive || !to.alive || to.leads || to.held != 0 || to.term > from.term {
		return
	}
	to.term = from.term
	for len(to.log) < len(from.log) {
		to.log = append(to.log, from.log[len(to.log)])
		n := len(to.log)
		time.AfterFunc(g.lag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			to.applied = min(max(to.applied, n), len(to.log))
		})
	}
}

func (s *dbServer) control(ses *dbSession, verb, rest string) string {
	s.occupy(controlWork)
	term, _ := strconv.ParseUint(rest, 10, 64)
	s.g.mu.Lock()
	switch verb {
	case "HOLD":
		if !s.leads && term > s.term {
			s.held = term
		}
	case "RESUME":
		s.held = 0
	case "DEMOTE":
		if s.leads && term > s.term {
			s.leads = false
		}
	}
	role := "replica"
	if s.leads {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", role, s.term, s.received(), s.held, len(s.conns))
	s.g.mu.Unlock()
	if verb != "STATUS" {
		s.g.rec.add("server %s %s %s: %s", s.id, verb, rest, row)
	}
	return s.answer(ses, []string{row}, "DONE -")
}

// promoteServer makes a server lead the next term after the time of a promotion.
func (g *group) promoteServer(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		if s.id != id || !s.alive {
			continue
		}
		if s.leads {
			return true
		}
		time.AfterFunc(g.promote, func() { g.lead(s) })
		return true
	}
	return false
}

// lead makes a server lead the next term.
func (g *group) lead(s *dbServer) {
	g.mu.Lock()
	var term uint64
	for _, o := range g.servers {
		term = max(term, o.term)
	}
	s.leads, s.term, s.held, s.applied = true, term+1, 0, len(s.log)
	led := s.term
	for _, o := range g.servers {
		if o == s {
			continue
		}
		o.held = 0
		// What goes beyond the new primary's log is rolled back.
		if len(o.log) > len(s.log) {
			o.log = o.log[:len(s.log)]
			o.applied = min(o.applied, len(o.log))
		}
	}
	g.mu.Unlock()
	g.rec.add("server %s leads term %d", s.id, led)
	s.writeEntry()
	time.AfterFunc(time.Second, func() {
		g.mu.Lock()
		if s.term != led || !s.leads {
			g.mu.Unlock()
			return
		}
		var deposed []*dbServer
		for _, o := range g.servers {
			if o != s && o.alive && o.leads && o.term < led {
				o.leads = false
				deposed = append(deposed, o)
			}
			g.feed(s, o)
		}
		g.mu.Unlock()
		for _, o := range deposed {
			o.writeEntry()
		}
	})
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store: rows of tables with an empty part, one
// counter of versions, changes on request.
type store struct {
	rec     *recorder
	started time.Time
	server  *http.Server
	address string

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]storeRow
	changed chan struct{}
}

type storeRow struct {
	value   []byte
	version uint64
	deleted bool
}

type rowJSON struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	RowVersion uint64 `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

type answerJSON struct {
	Rows       []rowJSON `json:"rows"`
	RowVersion uint64    `json:"rowVersion"`
	NowMs      int64     `json:"nowMs"`
	HasMore    bool      `json:"hasMore"`
}

const (
	storeLatency = 4 * time.Millisecond
	pageRows     = 500
)

func newStore(rec *recorder, ip string) (*store, error) {
	s := &store{rec: rec, started: time.Now(), rows: map[string]map[string]storeRow{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.tx)
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) close() { s.server.Close() }

// put writes a row on behalf of the operator or a server.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(table, key, storeRow{value: value})
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[table][key]; ok && !r.deleted {
		s.set(table, key, storeRow{deleted: true})
	}
}

func (s *store) set(table, key string, r storeRow) {
	s.version++
	r.version = s.version
	if s.rows[table] == nil {
		s.rows[table] = map[string]storeRow{}
	}
	s.rows[table][key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table that match, by key. The lock must be held.
func (s *store) list(table string, match func(key string, r storeRow) bool) []rowJSON {
	out := []rowJSON{}
	for key, r := range s.rows[table] {
		if match(key, r) {
			out = append(out, rowJSON{Table: table, Key: key, Value: r.value, RowVersion: r.version, Deleted: r.deleted})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (s *store) reply(w http.ResponseWriter, status int, rows []rowJSON, more bool) {
	s.mu.Lock()
	a := answerJSON{Rows: rows, RowVersion: s.version, NowMs: time.Since(s.started).Milliseconds(), HasMore: more}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	rows := s.list(q.Get("table"), func(key string, r storeRow) bool {
		return !r.deleted && key >= q.Get("from") && (q.Get("target") == "" || key < q.Get("target"))
	})
	s.mu.Unlock()
	more := len(rows) > limit
	s.reply(w, http.StatusOK, rows[:min(len(rows), limit)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		gone := after > s.version
		rows := s.list(q.Get("table"), func(_ string, r storeRow) bool { return r.version > after })
		changed := s.changed
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].RowVersion < rows[j].RowVersion })
		if gone {
			s.reply(w, http.StatusGone, nil, false)
			return
		}
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.reply(w, http.StatusOK, rows, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	var c struct {
		Expect []rowJSON `json:"expect"`
		Writes []rowJSON `json:"writes"`
		Remove []rowJSON `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, x := range append(append([]rowJSON{}, c.Writes...), c.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range c.Expect {
		have := s.rows[e.Table][e.Key]
		if have.deleted && e.RowVersion != 0 || !have.deleted && have.version != e.RowVersion {
			s.mu.Unlock()
			s.reply(w, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	text := ""
	for _, x := range c.Writes {
		s.set(x.Table, x.Key, storeRow{value: x.Value})
		text += fmt.Sprintf(" %s/%s=%s", x.Table, x.Key, x.Value)
	}
	for _, x := range c.Remove {
		s.set(x.Table, x.Key, storeRow{deleted: true})
		text += fmt.Sprintf(" -%s/%s", x.Table, x.Key)
	}
	// All rows of one transaction get its version.
	for _, x := range c.Writes {
		row := s.rows[x.Table][x.Key]
		row.version = s.version
		s.rows[x.Table][x.Key] = row
	}
	version := s.version
	s.mu.Unlock()
	s.rec.add("store version %d:%s", version, text)
	s.reply(w, http.StatusOK, nil, false)
}

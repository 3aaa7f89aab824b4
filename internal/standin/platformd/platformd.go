// Package platformd emulates the platform over HTTP for tests, the demonstration
// and benchmarks: a table service with conditional requests, a VM list, and the
// part of the S3 protocol that stores and returns whole objects. It keeps its
// state in memory.
//
//	GET    /tables/rows/{key}          200 with the value and its ETag, or 404
//	PUT    /tables/rows/{key}          204, or 412 when If-Match or If-None-Match fails
//	GET    /tables/rows?prefix=        200 with a RowList
//	POST   /tables/transactions        200 with an Outcome, or 412 with an Outcome
//	GET    /tables/transactions/{id}   200 with an Outcome, or 404
//	GET    /vms                        the VM list with its ETag, or 304
//	PUT    /vms                        replaces the VM list
//	GET    /faults, PUT /faults        the injected fault
//	GET    /requests                   request counts
//	GET    /{bucket}/{key}, PUT        S3, path style, any signature
//
// A PUT of a row carries the transaction's id in Idempotency-Key.
package platformd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/cranberrystage/cranberrystage/internal/platform/memory"
	"github.com/cranberrystage/cranberrystage/internal/platform/tablewire"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// bodyLimit is the largest request body, in bytes.
const bodyLimit = 16 << 20

// Server is the emulator's HTTP handler.
type Server struct {
	store    *memory.Platform
	faults   memory.Faults
	requests Requests
	mux      *http.ServeMux
	started  time.Time
}

// New returns an emulator without rows, VMs or objects.
func New() *Server {
	s := &Server{store: memory.New(), mux: http.NewServeMux(), started: time.Now()}
	s.serve("GET /tables/rows/{key...}", &s.requests.Gets, s.getRow)
	s.serve("PUT /tables/rows/{key...}", &s.requests.Commits, s.putRow)
	s.serve("GET /tables/rows", &s.requests.Lists, s.listRows)
	s.serve("POST /tables/transactions", &s.requests.Commits, s.commit)
	s.serve("GET /tables/transactions/{id}", &s.requests.Outcomes, s.outcome)
	s.serve("GET /vms", &s.requests.VMLists, s.listVMs)
	s.serve("GET /{bucket}/{key...}", &s.requests.ObjectGets, s.getObject)
	s.serve("PUT /{bucket}/{key...}", &s.requests.ObjectPuts, s.putObject)
	s.mux.HandleFunc("PUT /vms", s.setVMs)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.setFaults)
	s.mux.HandleFunc("GET /requests", s.getRequests)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []platform.ListedVM) { s.store.SetVMs(vms) }

// Faults returns the faults injected into requests to the table service, the VM
// list and the object store.
func (s *Server) Faults() *memory.Faults { return &s.faults }

// Requests returns the counts of requests so far.
func (s *Server) Requests() *Requests { return &s.requests }

// serve registers handle, wrapped so that requests are counted and faults apply.
func (s *Server) serve(pattern string, count *Counter, handle http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		count.n.Add(1)
		s.withFault(w, r, handle)
	})
}

func (s *Server) withFault(w http.ResponseWriter, r *http.Request, handle http.HandlerFunc) {
	// A request takes effect even if its caller cancels it.
	r = r.WithContext(context.WithoutCancel(r.Context()))
	f := s.faults.Take()
	switch f.Kind {
	case memory.FaultDown:
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
	case memory.FaultLoseAnswer:
		handle(&discardResponse{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	case memory.FaultSlow:
		time.Sleep(f.Delay)
		handle(w, r)
	default:
		handle(w, r)
	}
}

// discardResponse is a response writer that discards the response.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header         { return d.header }
func (d *discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardResponse) WriteHeader(int)             {}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.store.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", tablewire.ETag(row.Version))
	_, _ = w.Write(row.Value)
}

func (s *Server) putRow(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t, err := rowTxn(r, value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.store.Commit(r.Context(), t); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// rowTxn returns the transaction of a PUT of one row.
func rowTxn(r *http.Request, value []byte) (platform.Txn, error) {
	key := r.PathValue("key")
	t := platform.Txn{
		ID:     r.Header.Get(tablewire.IdempotencyKey),
		Writes: []platform.Write{{Key: key, Value: value}},
	}
	if t.ID == "" {
		t.ID = uuid.NewString()
	}
	if r.Header.Get("If-None-Match") == "*" {
		t.Conditions = []platform.Condition{{Key: key}}
	}
	if tag := r.Header.Get("If-Match"); tag != "" {
		version, err := tablewire.ParseETag(tag)
		if err != nil {
			return platform.Txn{}, err
		}
		t.Conditions = []platform.Condition{{Key: key, Version: version}}
	}
	return t, nil
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	rows, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, tablewire.RowList{Rows: rows})
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var t platform.Txn
	if !readJSON(w, r, &t) {
		return
	}
	if t.ID == "" {
		http.Error(w, "transaction without id", http.StatusBadRequest)
		return
	}
	err := s.store.Commit(r.Context(), t)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, tablewire.Outcome{Outcome: tablewire.OutcomeApplied})
	case errors.Is(err, platform.ErrConflict):
		writeJSON(w, http.StatusPreconditionFailed, tablewire.Outcome{Outcome: tablewire.OutcomeConflict})
	default:
		writeError(w, err)
	}
}

func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	switch s.store.Outcome(r.PathValue("id")) {
	case memory.OutcomeApplied:
		writeJSON(w, http.StatusOK, tablewire.Outcome{Outcome: tablewire.OutcomeApplied})
	case memory.OutcomeConflict:
		writeJSON(w, http.StatusOK, tablewire.Outcome{Outcome: tablewire.OutcomeConflict})
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.store.ListVMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := json.Marshal(vms)
	if err != nil {
		writeError(w, err)
		return
	}
	tag := contentETag(body)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Server) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.ListedVM
	if !readJSON(w, r, &vms) {
		return
	}
	s.store.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, &s.faults)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f memory.Fault
	if !readJSON(w, r, &f) {
		return
	}
	s.faults.Inject(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getRequests(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, &s.requests)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body into v; on failure it responds with 400 and returns
// false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

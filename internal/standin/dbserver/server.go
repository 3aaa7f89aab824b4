package dbserver

import (
	"context"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Config describes one emulated server.
type Config struct {
	// ID names the server.
	ID string `json:"id"`
	// DataCentre is where it is said to run.
	DataCentre string `json:"dataCentre"`
	// Listen is its IP:port.
	Listen string `json:"listen"`
	// Primary says that it leads at term 1; otherwise it follows PrimaryID.
	Primary bool `json:"primary"`
	// PrimaryID names the first primary.
	PrimaryID string `json:"primaryId"`
	// PrimaryAddress is the first primary's IP:port.
	PrimaryAddress string `json:"primaryAddress"`
	// Slots is how many statements it should run at once; more are counted as a breach.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts; replicas' own do not count.
	Connections int `json:"connections"`
	// SetUpTime is how long a new connection takes.
	SetUpTime config.Duration `json:"setUpTime,omitempty"`
	// CrossLatency is the one-way latency from another data centre.
	CrossLatency config.Duration `json:"crossLatency,omitempty"`
	// StatementTime is how long a statement occupies a slot.
	StatementTime config.Duration `json:"statementTime,omitempty"`
	// ReplicationDelay is how long a replica waits before it applies records.
	ReplicationDelay config.Duration `json:"replicationDelay,omitempty"`
}

// Stats counts what the emulator saw.
type Stats struct {
	// Connections is the number open now, replicas' not counted.
	Connections int64 `json:"connections"`
	// MaxConnections is the most that were open at once.
	MaxConnections int64 `json:"maxConnections"`
	// RefusedConnections were over the limit.
	RefusedConnections int64 `json:"refusedConnections"`
	// MaxRunning is the most statements that ran at once.
	MaxRunning int64 `json:"maxRunning"`
	// OverSlots counts statements that started while all slots were taken.
	OverSlots int64 `json:"overSlots"`
	// Statements counts the statements run, control functions not counted.
	Statements int64 `json:"statements"`
}

// Server is one emulated database server.
type Server struct {
	cfg Config
	db  *database
	log *slog.Logger

	listener net.Listener
	nextPID  atomic.Uint32
	conns    sync.Map // uint32 process id to *conn

	open, maxOpen, refused          atomic.Int64
	running, maxRunning, over, runs atomic.Int64

	faultsMu sync.RWMutex
	faults   Faults

	locksMu sync.Mutex
	locks   map[string]uint32
}

// New binds the listen address.
func New(cfg Config, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for server %s", cfg.ID)
	}
	s := &Server{
		cfg:      cfg,
		db:       newDatabase(cfg.Primary),
		log:      log.With("server", cfg.ID),
		listener: l,
		locks:    make(map[string]uint32),
	}
	if !cfg.Primary && cfg.PrimaryAddress != "" {
		if _, err := s.db.follow(tables.UpstreamID(cfg.PrimaryID), cfg.PrimaryAddress, 1); err != nil {
			return nil, errors.Wrap(err, "follow the first primary")
		}
	}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.closeAll() })
	defer stop()
	go s.replicate(ctx)
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		c := newConn(s, nc)
		s.conns.Store(c.pid, c)
		go c.run(ctx)
	}
}

func (s *Server) closeAll() {
	_ = s.listener.Close()
	s.conns.Range(func(_, v any) bool {
		_ = v.(*conn).net.Close()
		return true
	})
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	return Stats{
		Connections:        s.open.Load(),
		MaxConnections:     s.maxOpen.Load(),
		RefusedConnections: s.refused.Load(),
		MaxRunning:         s.maxRunning.Load(),
		OverSlots:          s.over.Load(),
		Statements:         s.runs.Load(),
	}
}

// Faults are the faults in force at one server.
type Faults struct {
	// IsolatedFrom lists data centres whose connections get no answer; "*" means all.
	IsolatedFrom []string `json:"isolatedFrom"`
	// SilentBefore makes connections with process ids up to this number silent for good.
	SilentBefore uint32 `json:"silentBefore"`
	// ReplicationStopped keeps the server from applying records.
	ReplicationStopped bool `json:"replicationStopped"`
	// ReplicationDelay is added to the configured delay.
	ReplicationDelay time.Duration `json:"replicationDelay"`
	// StatementDelay is added to every statement.
	StatementDelay time.Duration `json:"statementDelay"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	s.faults = f
}

// SilenceConnections makes every connection that is open now silent for good.
func (s *Server) SilenceConnections() {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	s.faults.SilentBefore = s.nextPID.Load()
}

func (s *Server) currentFaults() Faults {
	s.faultsMu.RLock()
	defer s.faultsMu.RUnlock()
	return s.faults
}

// isolated reports whether a peer in dc gets no answer.
func (f Faults) isolated(dc string) bool {
	for _, from := range f.IsolatedFrom {
		if from == "*" || from == dc {
			return true
		}
	}
	return false
}

// admitConnection counts a connection against the limit.
func (s *Server) admitConnection() bool {
	n := s.open.Add(1)
	if n > int64(s.cfg.Connections) {
		s.open.Add(-1)
		s.refused.Add(1)
		return false
	}
	raise(&s.maxOpen, n)
	return true
}

// startStatement occupies a slot.
func (s *Server) startStatement() {
	n := s.running.Add(1)
	raise(&s.maxRunning, n)
	if n > int64(s.cfg.Slots) {
		s.over.Add(1)
	}
	s.runs.Add(1)
}

func (s *Server) endStatement() { s.running.Add(-1) }

func raise(max *atomic.Int64, n int64) {
	for {
		old := max.Load()
		if n <= old || max.CompareAndSwap(old, n) {
			return
		}
	}
}

// tryLock takes the advisory lock name for the connection pid.
func (s *Server) tryLock(name string, pid uint32) bool {
	s.locksMu.Lock()
	defer s.locksMu.Unlock()
	holder, held := s.locks[name]
	if held && holder != pid {
		return false
	}
	s.locks[name] = pid
	return true
}

func (s *Server) unlock(name string, pid uint32) bool {
	s.locksMu.Lock()
	defer s.locksMu.Unlock()
	if s.locks[name] != pid {
		return false
	}
	delete(s.locks, name)
	return true
}

func (s *Server) unlockAll(pid uint32) {
	s.locksMu.Lock()
	defer s.locksMu.Unlock()
	for name, holder := range s.locks {
		if holder == pid {
			delete(s.locks, name)
		}
	}
}

// dataCentreOf reads "name@data-centre" from an application name.
func dataCentreOf(application string) string {
	_, dc, _ := strings.Cut(application, "@")
	return dc
}

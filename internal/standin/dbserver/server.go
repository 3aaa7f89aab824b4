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
	// ID is the server's id.
	ID string `json:"id"`
	// DataCentre is the emulated data centre of the server.
	DataCentre string `json:"dataCentre"`
	// Listen is its IP:port.
	Listen string `json:"listen"`
	// Primary makes it the primary at term 1; otherwise it follows PrimaryID.
	Primary bool `json:"primary"`
	// PrimaryID is the id of the first primary.
	PrimaryID string `json:"primaryId"`
	// PrimaryAddress is the first primary's IP:port.
	PrimaryAddress string `json:"primaryAddress"`
	// Slots is how many statements may run at once; statements beyond it run too
	// but are counted in Stats.OverSlots.
	Slots int `json:"slots"`
	// Connections is the connection limit; connections of replicas do not count.
	Connections int `json:"connections"`
	// SetUpTime is how long the set-up of a connection takes.
	SetUpTime config.Duration `json:"setUpTime,omitempty"`
	// CrossLatency is the one-way latency from another data centre.
	CrossLatency config.Duration `json:"crossLatency,omitempty"`
	// StatementTime is how long a statement runs.
	StatementTime config.Duration `json:"statementTime,omitempty"`
	// ReplicationDelay is how long a replica waits before it applies received
	// records.
	ReplicationDelay config.Duration `json:"replicationDelay,omitempty"`
}

// Stats are the counters of a server.
type Stats struct {
	// Connections is the number of open connections without those of replicas.
	Connections int64 `json:"connections"`
	// MaxConnections is the highest number of connections open at once.
	MaxConnections int64 `json:"maxConnections"`
	// RefusedConnections counts connections refused because of the limit.
	RefusedConnections int64 `json:"refusedConnections"`
	// MaxRunning is the highest number of statements that ran at once.
	MaxRunning int64 `json:"maxRunning"`
	// OverSlots counts statements that started while all slots were taken.
	OverSlots int64 `json:"overSlots"`
	// Statements counts the statements run, without control functions.
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

	open, maxOpen, refused                     atomic.Int64
	running, maxRunning, overSlots, statements atomic.Int64

	faultsMu sync.RWMutex
	faults   Faults

	locksMu sync.Mutex
	// locks holds, by advisory lock, the process id of the connection that has it.
	locks map[string]uint32
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

// Run serves until ctx is done.
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
		OverSlots:          s.overSlots.Load(),
		Statements:         s.statements.Load(),
	}
}

// Faults are the faults injected into one server.
type Faults struct {
	// IsolatedFrom lists the data centres whose connections get no response; "*"
	// means all.
	IsolatedFrom []string `json:"isolatedFrom"`
	// SilentBefore permanently stops all responses on connections with process ids
	// up to this number.
	SilentBefore uint32 `json:"silentBefore"`
	// ReplicationStopped stops the server from pulling records as a replica.
	ReplicationStopped bool `json:"replicationStopped"`
	// ReplicationDelay is added to the configured delay.
	ReplicationDelay time.Duration `json:"replicationDelay"`
	// StatementDelay is added to every statement.
	StatementDelay time.Duration `json:"statementDelay"`
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	s.faults = f
}

// SilenceConnections permanently stops all responses on the open connections.
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

// isolated reports whether connections from dc get no response.
func (f Faults) isolated(dc string) bool {
	for _, from := range f.IsolatedFrom {
		if from == "*" || from == dc {
			return true
		}
	}
	return false
}

// admitConnection counts a connection and reports whether it is within the limit.
func (s *Server) admitConnection() bool {
	n := s.open.Add(1)
	if n > int64(s.cfg.Connections) {
		s.open.Add(-1)
		s.refused.Add(1)
		return false
	}
	storeMax(&s.maxOpen, n)
	return true
}

// startStatement counts a statement that starts to run.
func (s *Server) startStatement() {
	n := s.running.Add(1)
	storeMax(&s.maxRunning, n)
	if n > int64(s.cfg.Slots) {
		s.overSlots.Add(1)
	}
	s.statements.Add(1)
}

func (s *Server) endStatement() { s.running.Add(-1) }

func storeMax(max *atomic.Int64, n int64) {
	for {
		old := max.Load()
		if n <= old || max.CompareAndSwap(old, n) {
			return
		}
	}
}

// tryLock takes the advisory lock name for the connection pid, unless another
// connection holds it.
func (s *Server) tryLock(name string, pid uint32) bool {
	s.locksMu.Lock()
	defer s.locksMu.Unlock()
	holder, lockHeld := s.locks[name]
	if lockHeld && holder != pid {
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

// dataCentreOf returns the data centre of an application name of the form
// "name@data-centre".
func dataCentreOf(application string) string {
	_, dc, _ := strings.Cut(application, "@")
	return dc
}

package bench

import (
	"context"
	"io"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

// Handover is how a session that moves to another proxy identifies itself there.
type Handover string

const (
	// HandoverToken passes the session token that the last proxy reported.
	HandoverToken Handover = "token"
	// HandoverName passes the session's name.
	HandoverName Handover = "name"
	// HandoverNothing makes each connection a session of its own, as the
	// baseline for the other values.
	HandoverNothing Handover = "nothing"
)

// Options describe one load.
type Options struct {
	// Proxies are the IP:port of the proxies that sessions move between.
	Proxies []string
	// Databases are the databases, each as "service/database".
	Databases []string
	// User is the user of all sessions.
	User string
	// Password is the password of User.
	Password string
	// Workload is the mix of operations.
	Workload Workload
	// Rate is the number of operations that arrive per second.
	Rate float64
	// Duration is the time during which operations arrive.
	Duration time.Duration
	// Drain bounds the time after Duration, in which operations in progress end
	// and the final reads run.
	Drain time.Duration
	// Connections is the number of sessions, each with one connection.
	Connections int
	// Timeout bounds one operation.
	Timeout time.Duration
	// Roam is the share of operations, from 0 to 1, before which a session moves
	// to a random proxy.
	Roam float64
	// Handover is how a session identifies itself at the next proxy.
	Handover Handover
	// Undeclared makes reads declare no maximum age, so that they go to the primary.
	Undeclared bool
	// GapProbe is the interval between the writes that measure, for each
	// database, the longest time without a successful write; 0 for none.
	GapProbe time.Duration
	// Seed is the seed of the random arrivals and operations.
	Seed uint64
	// RunID is the prefix of every key, so that several runs can use one database.
	RunID string
	// Progress receives a line each second; nil for none.
	Progress io.Writer

	started time.Time
}

// elapsed returns the time since the load started.
func (o *Options) elapsed() time.Duration { return time.Since(o.started) }

// maxAge returns the maximum age that reads declare; 0 for none.
func (o *Options) maxAge() time.Duration {
	if o.Undeclared {
		return 0
	}
	return o.Workload.MaxAge
}

func (o *Options) check() error {
	switch {
	case len(o.Proxies) == 0:
		return errors.New("no proxy is given")
	case len(o.Databases) == 0:
		return errors.New("no database is given")
	case o.Drain <= 0:
		return errors.New("the drain must be above 0")
	case o.Rate <= 0:
		return errors.New("the rate must be above 0")
	case o.Connections < len(o.Databases):
		return errors.New("there must be a connection for each database")
	}
	return nil
}

// Connect opens a connection to a database at the first proxy that accepts it.
func (o *Options) Connect(ctx context.Context, database string) (*pgx.Conn, error) {
	var last error
	for _, address := range o.Proxies {
		conn, err := o.open(ctx, address, database, "")
		if err == nil {
			return conn, nil
		}
		last = err
	}
	return nil, &connectError{cause: last}
}

// open connects to a proxy or server. It passes session as the session parameter
// unless it is empty.
func (o *Options) open(ctx context.Context, address, database, session string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + address + "/?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "address of a proxy")
	}
	cfg.Database, cfg.User, cfg.Password = database, o.User, o.Password
	cfg.ConnectTimeout = connectTimeout
	if session != "" {
		cfg.RuntimeParams[paramSession] = session
	}
	return pgx.ConnectConfig(ctx, cfg)
}

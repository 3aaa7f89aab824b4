package bench

import (
	"context"
	"io"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

// Handover is what a session that roams gives to the next proxy.
type Handover string

const (
	// HandoverToken gives the token that the last proxy reported.
	HandoverToken Handover = "token"
	// HandoverName gives the session's name.
	HandoverName Handover = "name"
	// HandoverNothing makes each connection a session of its own; it shows what the other ways are for.
	HandoverNothing Handover = "nothing"
)

// Options describe one load.
type Options struct {
	// Proxies are the IP:port of the proxies that sessions roam between.
	Proxies []string
	// Databases are the databases, each as "service/database".
	Databases []string
	// User is whom to log in as.
	User string
	// Password belongs to User.
	Password string
	// Workload is the mix of operations.
	Workload Workload
	// Rate is the number of operations that arrive per second.
	Rate float64
	// Duration is how long operations arrive.
	Duration time.Duration
	// Drain bounds what follows Duration: the end of operations under way and the final reads.
	Drain time.Duration
	// Connections is the number of sessions, each with one connection.
	Connections int
	// Timeout is how long a caller waits for one operation.
	Timeout time.Duration
	// Roam is the share of operations before which a session moves to a random proxy.
	Roam float64
	// Handover is what a session gives to the next proxy.
	Handover Handover
	// Undeclared makes reads declare no age, so that they go to the primary.
	Undeclared bool
	// GapProbe is the pause between writes that measure each database's gaps; 0 for none.
	GapProbe time.Duration
	// Seed fixes arrivals and choices.
	Seed uint64
	// RunID starts every key, so that runs on the same database keep apart.
	RunID string
	// Progress receives a line each second; nil for none.
	Progress io.Writer

	started time.Time
}

// clock returns the time since the load began.
func (o *Options) clock() time.Duration { return time.Since(o.started) }

// maxAge returns the age that reads accept.
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

// Connect opens a connection to a database at the first proxy that takes it.
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

// open connects to a server. session is handed over if it is not empty.
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

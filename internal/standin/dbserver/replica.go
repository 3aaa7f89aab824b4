package dbserver

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/standin/replog"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

const (
	// replicationUser is the user that replicas log in as.
	replicationUser = "replication"
	// maxPullRecords limits the records of one response to cs_pull.
	maxPullRecords = 1000
	// pullWait is how long the primary waits for new records before it returns
	// an empty response.
	pullWait = 200 * time.Millisecond
	// pullTimeout limits connecting to the primary, and each request to it.
	pullTimeout           = time.Second
	replicationRetryDelay = 20 * time.Millisecond
)

// pullResponse is the primary's response to cs_pull.
type pullResponse struct {
	// Previous is the term of the primary's record before Records.
	Previous tables.Term     `json:"previous"`
	Records  []replog.Record `json:"records"`
}

// replicate pulls records from the server's primary until ctx is done.
func (s *Server) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		address, term, _, changed := s.db.following()
		if term == 0 {
			waitForChange(ctx, changed, time.Second)
			continue
		}
		if err := s.pullFrom(ctx, address, term); err != nil {
			waitForChange(ctx, nil, replicationRetryDelay)
		}
	}
}

// waitForChange waits until changed is closed, d has passed or ctx is done. A
// nil channel never changes.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// whileFollowing returns a context that is cancelled when the server follows
// another primary or term, so that a pending request to a silent primary does
// not delay the switch.
func (s *Server) whileFollowing(ctx context.Context, address string, term tables.Term) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil {
			now, at, _, changed := s.db.following()
			if now != address || at != term {
				cancel()
				return
			}
			waitForChange(ctx, changed, time.Second)
		}
	}()
	return ctx, cancel
}

// pullFrom pulls records from the primary at address for as long as the server
// follows it at term.
func (s *Server) pullFrom(ctx context.Context, address string, term tables.Term) error {
	ctx, stop := s.whileFollowing(ctx, address, term)
	defer stop()
	dialCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	url := fmt.Sprintf("postgres://%s@%s/replication?sslmode=disable&application_name=%s@%s",
		replicationUser, address, s.cfg.ID, s.cfg.DataCentre)
	pc, err := pgconn.Connect(dialCtx, url)
	if err != nil {
		return errors.Wrap(err, "connect to the primary")
	}
	defer pc.Close(context.Background())
	for ctx.Err() == nil {
		now, at, index, _ := s.db.following()
		if now != address || at != term {
			return nil
		}
		if s.currentFaults().ReplicationStopped {
			return errors.New("replication stopped")
		}
		if err := s.pullOnce(ctx, pc, term, index); err != nil {
			return err
		}
	}
	return nil
}

// pullOnce requests the records after index and applies them after the
// replication delay.
func (s *Server) pullOnce(ctx context.Context, pc *pgconn.PgConn, term tables.Term, index uint64) error {
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sql := fmt.Sprintf("SELECT cs_pull(%d, %d)", term, index)
	results, err := pc.Exec(pullCtx, sql).ReadAll()
	if err != nil {
		return errors.Wrap(err, "pull")
	}
	var resp pullResponse
	if err := json.Unmarshal(results[0].Rows[0][0], &resp); err != nil {
		return errors.Wrap(err, "decode records")
	}
	if d := time.Duration(s.cfg.ReplicationDelay) + s.currentFaults().ReplicationDelay; d > 0 {
		waitForChange(ctx, nil, d)
	}
	return s.db.apply(term, index, resp.Previous, resp.Records)
}

// pull implements cs_pull: it returns the records after index, and waits up to
// pullWait if there are none.
func (s *Server) pull(ctx context.Context, term tables.Term, index uint64) (string, error) {
	deadline := time.Now().Add(pullWait)
	for {
		previous, records, wait, err := s.db.entries(term, index, maxPullRecords)
		if err != nil {
			return "", err
		}
		left := time.Until(deadline)
		if wait == nil || left <= 0 {
			b, err := json.Marshal(pullResponse{Previous: previous, Records: records})
			return string(b), errors.Wrap(err, "encode records")
		}
		waitForChange(ctx, wait, left)
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
	}
}

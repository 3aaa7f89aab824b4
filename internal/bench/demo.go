package bench

import (
	"context"
	"fmt"
	"syscall"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Demo runs several loads concurrently and kills a process half-way.
type Demo struct {
	// Loads are the loads; all have the same duration.
	Loads []Options
	// KillPID is the process that gets SIGKILL half-way; 0 for none.
	KillPID int
	// KillPrimaryOf are the servers of one group, whose primary gets SIGKILL
	// half-way; empty for none.
	KillPrimaryOf []Server
}

// Run returns the loads' results in order.
func (d Demo) Run(ctx context.Context) ([]*Result, error) {
	results := make([]*Result, len(d.Loads))
	group, ctx := errgroup.WithContext(ctx)
	for i, opts := range d.Loads {
		group.Go(func() error {
			var err error
			results[i], err = Load(ctx, opts)
			return err
		})
	}
	group.Go(func() error { return d.kill(ctx) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

func (d Demo) kill(ctx context.Context) error {
	if len(d.Loads) == 0 || d.KillPID == 0 && len(d.KillPrimaryOf) == 0 {
		return nil
	}
	first := d.Loads[0]
	if sleep.For(ctx, first.Duration/2) != nil {
		return nil
	}
	target := Server{PID: d.KillPID}
	if target.PID == 0 {
		var err error
		if target, err = primaryOf(ctx, d.KillPrimaryOf); err != nil {
			return err
		}
	}
	if err := syscall.Kill(target.PID, syscall.SIGKILL); err != nil {
		return errors.Wrapf(err, "kill process %d", target.PID)
	}
	if first.Progress != nil {
		_, _ = fmt.Fprintf(first.Progress, "process %d %s killed at %s\n", target.PID, target.Address, first.Duration/2)
	}
	return nil
}

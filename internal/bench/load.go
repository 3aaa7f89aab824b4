package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/history"
	"github.com/cranberrystage/cranberrystage/internal/sleep"
)

const (
	// backlog bounds the operations that are due and not yet begun.
	backlog     = 4096
	verifyPause = 100 * time.Millisecond
	// verifySessions bounds the sessions that read at the end, so that they
	// don't overload what the load has left slow.
	verifySessions = 32
)

// Load runs one load and checks its history. Operations arrive at seeded
// random times whether or not earlier ones have ended, and their latency
// counts from the arrival. Half of opts.Drain after the last arrival is left to
// operations that are still under way, the rest to the final reads.
func Load(ctx context.Context, opts Options) (*Result, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	opts.started = time.Now()
	r := newRecorder()
	stop := startProgress(ctx, &opts, r)
	callers := runCallers(ctx, &opts, r)
	stop()
	end := opts.clock()
	ctx, cancel := context.WithDeadline(ctx, opts.started.Add(opts.Duration+opts.Drain))
	defer cancel()
	final := verify(ctx, &opts, r.ops, callers)
	return newResult(&opts, r, final, end), nil
}

// runCallers performs the load and returns the sessions at its end.
func runCallers(ctx context.Context, opts *Options, r *recorder) []*caller {
	ctx, cancel := context.WithDeadline(ctx, opts.started.Add(opts.Duration+opts.Drain/2))
	defer cancel()
	b := &board{registers: make([]atomic.Pointer[string], opts.Connections)}
	due := make(chan time.Duration, backlog)
	callers := make([]*caller, opts.Connections)
	var running sync.WaitGroup
	for i := range callers {
		c := newCaller(opts, b, i)
		callers[i] = c
		running.Go(func() {
			for at := range due {
				if ctx.Err() != nil {
					r.drop()
					continue
				}
				k := opts.Workload.pick(c.rnd)
				r.add(k, c.perform(ctx, k), at)
			}
		})
	}
	if opts.GapProbe > 0 {
		for i := range opts.Databases {
			running.Go(func() { newProber(opts, b, i, r).run(ctx) })
		}
	}
	arrive(ctx, opts, due, r)
	close(due)
	running.Wait()
	return callers
}

// arrive hands out operations at random times until the load's end.
func arrive(ctx context.Context, opts *Options, due chan<- time.Duration, r *recorder) {
	rnd := rand.New(rand.NewPCG(opts.Seed, 0))
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / opts.Rate * float64(time.Second))
		if at >= opts.Duration || sleep.For(ctx, at-opts.clock()) != nil {
			return
		}
		select {
		case due <- at:
		default:
			r.drop()
		}
	}
}

// startProgress prints a line each second until the returned function is called.
func startProgress(ctx context.Context, opts *Options, r *recorder) (stop func()) {
	if opts.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var printing sync.WaitGroup
	printing.Go(func() {
		var before totals
		for sleep.For(ctx, time.Second) == nil {
			now := r.totals()
			_, _ = fmt.Fprintf(opts.Progress, "%-8s %3.0fs  %5d succeeded  %4d failed  %5d on replicas  %4d dropped\n",
				opts.Workload.Name, opts.clock().Seconds(), now.succeeded-before.succeeded,
				now.failed-before.failed, now.replica-before.replica, now.dropped-before.dropped)
			before = now
		}
	})
	return func() {
		cancel()
		printing.Wait()
	}
}

// verify reads everything that was written from the primary, with the load's
// own sessions, until ctx ends.
func verify(ctx context.Context, opts *Options, ops []history.Op, callers []*caller) []history.Op {
	work := make(chan history.Op, len(ops))
	for _, op := range finalReads(ops) {
		work <- op
	}
	close(work)
	var mu sync.Mutex
	var out []history.Op
	var running sync.WaitGroup
	for i, c := range callers {
		if i >= verifySessions {
			running.Go(c.leave)
			continue
		}
		running.Go(func() {
			defer c.leave()
			for op := range work {
				if ctx.Err() != nil {
					return
				}
				op = c.readFinal(ctx, op)
				mu.Lock()
				out = append(out, op)
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return out
}

// finalReads returns one read for each register and item, those with an
// acknowledged write first.
func finalReads(ops []history.Op) []history.Op {
	seen := make(map[subject]bool)
	var out []history.Op
	acknowledged := func(o *history.Op) bool { return o.Outcome == history.Acknowledged }
	others := func(o *history.Op) bool { return !acknowledged(o) }
	for _, wanted := range []func(*history.Op) bool{acknowledged, others} {
		out = append(out, newFinalReads(ops, seen, wanted)...)
	}
	return out
}

// subject is a register or item of one database.
type subject struct{ database, key string }

// newFinalReads returns a read for each subject of a wanted write that is not
// in seen, and adds it there.
func newFinalReads(ops []history.Op, seen map[subject]bool, wanted func(*history.Op) bool) []history.Op {
	var out []history.Op
	for i := range ops {
		op := &ops[i]
		s := subject{op.Database, op.Key}
		if !op.IsWrite() || seen[s] || !wanted(op) {
			continue
		}
		seen[s] = true
		kind := history.KindFinalCount
		if op.Kind == history.KindPut {
			kind = history.KindFinalRead
		}
		out = append(out, history.Op{Kind: kind, Database: op.Database, Key: op.Key})
	}
	return out
}

// readFinal asks the primary until it answers or ctx ends.
func (c *caller) readFinal(ctx context.Context, op history.Op) history.Op {
	if c.database != op.Database {
		c.leave()
		c.database, c.token = op.Database, ""
	}
	for {
		op.Start = c.opts.clock()
		op = c.end(op, c.queryFinal(ctx, &op))
		if op.Outcome == history.Acknowledged || sleep.For(ctx, verifyPause) != nil {
			return op
		}
	}
}

func (c *caller) queryFinal(ctx context.Context, op *history.Op) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	w := &c.opts.Workload
	if op.Kind == history.KindFinalRead {
		return c.queryValue(ctx, &op.Saw, "SELECT v FROM "+w.Registers+" WHERE k = $1", op.Key)
	}
	return c.queryValue(ctx, &op.Count, "SELECT count(*) FROM "+w.Items+" WHERE v = $1", op.Key)
}

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
	// maxBacklog bounds the operations that have arrived and not started yet.
	maxBacklog          = 4096
	verifyRetryInterval = 100 * time.Millisecond
	// verifySessions bounds the sessions that run the final reads, so that
	// these don't overload servers that are slow after the load.
	verifySessions = 32
)

// Load runs one open-loop load and checks its history. Operations arrive at
// seeded random times whether or not earlier ones have ended, and their latency
// counts from the arrival. After the last arrival, operations in progress have
// half of opts.Drain to end, and the final reads have the rest.
func Load(ctx context.Context, opts Options) (*Result, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	opts.started = time.Now()
	r := newRecorder()
	stop := startProgress(ctx, &opts, r)
	callers := runCallers(ctx, &opts, r)
	stop()
	end := opts.elapsed()
	ctx, cancel := context.WithDeadline(ctx, opts.started.Add(opts.Duration+opts.Drain))
	defer cancel()
	final := verify(ctx, &opts, r.ops, callers)
	return newResult(&opts, r, final, end), nil
}

// runCallers runs the load and returns its sessions.
func runCallers(ctx context.Context, opts *Options, r *recorder) []*caller {
	ctx, cancel := context.WithDeadline(ctx, opts.started.Add(opts.Duration+opts.Drain/2))
	defer cancel()
	published := &publishedRegisters{registers: make([]atomic.Pointer[string], opts.Connections)}
	arrivals := make(chan time.Duration, maxBacklog)
	callers := make([]*caller, opts.Connections)
	var running sync.WaitGroup
	for i := range callers {
		c := newCaller(opts, published, i)
		callers[i] = c
		running.Go(func() {
			for at := range arrivals {
				if ctx.Err() != nil {
					r.countDropped()
					continue
				}
				k := opts.Workload.pick(c.rnd)
				r.add(k, c.perform(ctx, k), at)
			}
		})
	}
	if opts.GapProbe > 0 {
		for i := range opts.Databases {
			running.Go(func() { newProber(opts, published, i, r).run(ctx) })
		}
	}
	generateArrivals(ctx, opts, arrivals, r)
	close(arrivals)
	running.Wait()
	return callers
}

// generateArrivals sends the arrival times of operations to arrivals, each at that
// time, until the load's end. It counts an operation as dropped if the backlog is
// full.
func generateArrivals(ctx context.Context, opts *Options, arrivals chan<- time.Duration, r *recorder) {
	rnd := rand.New(rand.NewPCG(opts.Seed, 0))
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / opts.Rate * float64(time.Second))
		if at >= opts.Duration || sleep.For(ctx, at-opts.elapsed()) != nil {
			return
		}
		select {
		case arrivals <- at:
		default:
			r.countDropped()
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
				opts.Workload.Name, opts.elapsed().Seconds(), now.succeeded-before.succeeded,
				now.failed-before.failed, now.replica-before.replica, now.dropped-before.dropped)
			before = now
		}
	})
	return func() {
		cancel()
		printing.Wait()
	}
}

// verify reads every written register and item from the primary, with the
// load's sessions, until ctx ends. It returns the records of these reads.
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
			running.Go(c.disconnect)
			continue
		}
		running.Go(func() {
			defer c.disconnect()
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
	seen := make(map[writtenKey]bool)
	var out []history.Op
	acknowledged := func(o *history.Op) bool { return o.Outcome == history.Acknowledged }
	others := func(o *history.Op) bool { return !acknowledged(o) }
	for _, wanted := range []func(*history.Op) bool{acknowledged, others} {
		out = append(out, newFinalReads(ops, seen, wanted)...)
	}
	return out
}

// writtenKey identifies a register or an item of one database.
type writtenKey struct{ database, key string }

// newFinalReads returns a read for each register and item that a wanted write
// wrote and that is not in seen, and adds it to seen.
func newFinalReads(ops []history.Op, seen map[writtenKey]bool, wanted func(*history.Op) bool) []history.Op {
	var out []history.Op
	for i := range ops {
		op := &ops[i]
		k := writtenKey{op.Database, op.Key}
		if !op.IsWrite() || seen[k] || !wanted(op) {
			continue
		}
		seen[k] = true
		kind := history.KindFinalCount
		if op.Kind == history.KindPut {
			kind = history.KindFinalRead
		}
		out = append(out, history.Op{Kind: kind, Database: op.Database, Key: op.Key})
	}
	return out
}

// readFinal retries the read until the primary answers it or ctx ends.
func (c *caller) readFinal(ctx context.Context, op history.Op) history.Op {
	if c.database != op.Database {
		c.disconnect()
		c.database, c.token = op.Database, ""
	}
	for {
		op.Start = c.opts.elapsed()
		op = c.end(op, c.queryFinal(ctx, &op))
		if op.Outcome == history.Acknowledged || sleep.For(ctx, verifyRetryInterval) != nil {
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

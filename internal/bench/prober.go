package bench

import (
	"context"
	"fmt"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
)

// maxProbeSessions is the maximum number of probe sessions of one database.
const maxProbeSessions = 100

// prober writes to one database at a constant rate, through each proxy in turn.
// A write that blocks occupies its session and does not delay later writes.
type prober struct {
	opts               *Options
	publishedRegisters *publishedRegisters
	// index is the index of the database.
	index   int
	rec     *recorder
	idle    chan *caller
	created int // number of sessions
}

func newProber(opts *Options, published *publishedRegisters, index int, rec *recorder) *prober {
	p := &prober{opts: opts, publishedRegisters: published, index: index, rec: rec, idle: make(chan *caller, maxProbeSessions)}
	for range opts.Proxies {
		p.idle <- p.newSession()
	}
	return p
}

func (p *prober) newSession() *caller {
	c := newCaller(p.opts, p.publishedRegisters, p.index)
	c.name = fmt.Sprintf("%s-probe%d", c.name, p.created)
	c.proxy = p.created % len(p.opts.Proxies)
	p.created++
	return c
}

// run probes until the load's end and waits for the last probes.
func (p *prober) run(ctx context.Context) {
	var running sync.WaitGroup
	for p.opts.elapsed() < p.opts.Duration && sleep.For(ctx, p.opts.GapProbe) == nil {
		c := p.session()
		if c == nil {
			p.rec.countDropped()
			continue
		}
		running.Go(func() {
			at := p.opts.elapsed()
			p.rec.add(classProbe, c.probe(ctx), at)
			p.idle <- c
		})
	}
	running.Wait()
	for len(p.idle) > 0 {
		(<-p.idle).disconnect()
	}
}

// session returns the session that has been idle for longest, or a new one if
// none is idle; nil if maxProbeSessions sessions exist.
func (p *prober) session() *caller {
	select {
	case c := <-p.idle:
		return c
	default:
	}
	if p.created >= maxProbeSessions {
		return nil
	}
	return p.newSession()
}

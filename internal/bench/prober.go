package bench

import (
	"context"
	"fmt"
	"sync"

	"github.com/cranberrystage/cranberrystage/internal/sleep"
)

// maxProbes bounds the sessions that probe one database.
const maxProbes = 100

// prober writes to one database at a steady pace, through every proxy in turn.
// A write that hangs keeps its session, not the pace.
type prober struct {
	opts  *Options
	board *board
	index int
	rec   *recorder
	idle  chan *caller
	made  int
}

func newProber(opts *Options, b *board, index int, rec *recorder) *prober {
	p := &prober{opts: opts, board: b, index: index, rec: rec, idle: make(chan *caller, maxProbes)}
	for range opts.Proxies {
		p.idle <- p.newSession()
	}
	return p
}

func (p *prober) newSession() *caller {
	c := newCaller(p.opts, p.board, p.index)
	c.name = fmt.Sprintf("%s-probe%d", c.name, p.made)
	c.proxy = p.made % len(p.opts.Proxies)
	p.made++
	return c
}

// run probes until the load's end and waits for the last probes.
func (p *prober) run(ctx context.Context) {
	var running sync.WaitGroup
	for p.opts.clock() < p.opts.Duration && sleep.For(ctx, p.opts.GapProbe) == nil {
		c := p.session()
		if c == nil {
			p.rec.drop()
			continue
		}
		running.Go(func() {
			at := p.opts.clock()
			p.rec.add(classProbe, c.probe(ctx), at)
			p.idle <- c
		})
	}
	running.Wait()
	for len(p.idle) > 0 {
		(<-p.idle).leave()
	}
}

// session returns the session that has been idle for longest, or a new one;
// nil if there are too many.
func (p *prober) session() *caller {
	select {
	case c := <-p.idle:
		return c
	default:
	}
	if p.made >= maxProbes {
		return nil
	}
	return p.newSession()
}

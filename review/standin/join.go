//go:build review

package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["join"] = join }

// ledger checks reads of items that one client each writes with growing numbers.
type ledger struct {
	w     *world
	mu    sync.Mutex
	acked map[string]int
	reads int
}

// join replaces the servers of a service one after the other. The new server that takes
// the place of the second one starts shortly after the first one, the primary, has
// reported that it drains.
func join(w *world) error {
	g, err := w.addGroup("ledger", 0)
	if err != nil {
		return err
	}
	g.work = 24 * time.Millisecond
	w.configure(route{host: "shop", kind: "primary", backend: "ledger", deadlineMs: 1000})
	for _, zone := range zones {
		if _, err := w.addProxy(zone); err != nil {
			return err
		}
	}
	for _, p := range w.proxies {
		if err := p.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	time.Sleep(7 * time.Second)
	l := &ledger{w: w, acked: map[string]int{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range writers {
		p, item := w.proxies[i%3], fmt.Sprint("item", i)
		wg.Go(func() { l.write(p.front, item, stop) })
		wg.Go(func() { l.read(p.front, fmt.Sprint("item", (i+1)%writers), stop) })
	}
	time.Sleep(2 * time.Second)
	second := func() error {
		_, err := g.addServer("i-ledger5", w.subnet+"105", zones[1])
		return err
	}
	if !w.trouble {
		if err := second(); err != nil {
			return err
		}
	}
	if _, err := g.addServer("i-ledger4", w.subnet+"104", zones[0]); err != nil {
		return err
	}
	time.Sleep(time.Second)
	g.servers[0].drain()
	time.Sleep(joinDelay)
	if w.trouble {
		if err := second(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	g.servers[1].drain()
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	if l.reads == 0 {
		return fmt.Errorf("nothing was read")
	}
	return nil
}

// writers is the number of clients that write, each an item of its own.
const writers = 18

// joinDelay is the time between a server's report that it drains and the start of the
// next new server.
const joinDelay = 30 * time.Millisecond

// write writes growing numbers to an item.
func (l *ledger) write(address, item string, stop chan struct{}) {
	var c *client
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = l.w.dial("w-"+item, address, "shop"); err != nil {
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		r, err := c.run(newID(), fmt.Sprintf("WRITE %s %d", item, n))
		switch {
		case err != nil:
			c.conn.Close()
			c = nil
		case r.code == "":
			l.mu.Lock()
			l.acked[item] = n
			l.mu.Unlock()
		default:
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// read reads an item and compares it with what had been acknowledged before.
func (l *ledger) read(address, item string, stop chan struct{}) {
	var c *client
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = l.w.dial("r-"+item, address, "shop"); err != nil {
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		l.mu.Lock()
		least := l.acked[item]
		l.mu.Unlock()
		id := newID()
		r, err := c.run(id, "READ "+item)
		if err != nil {
			c.conn.Close()
			c = nil
			continue
		}
		if r.code != "" || len(r.rows) != 1 {
			continue
		}
		l.mu.Lock()
		l.reads++
		l.mu.Unlock()
		server, _, _ := strings.Cut(r.done, ".")
		if n, err := strconv.Atoi(r.rows[0]); (err != nil && least > 0) || err == nil && n < least {
			l.w.breaks("STALE: read %s of %s on a primary route gave %s from %s, though %d had been acknowledged before it was sent", id, item, r.rows[0], server, least)
		}
	}
}

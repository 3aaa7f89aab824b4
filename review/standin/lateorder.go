//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["late-order"] = lateOrder }

// cutTime is how long the coordinator is cut off from the platform.
const cutTime = 9 * time.Second

// lateOrder replaces a crashed primary. As the coordinator has just sent its order, it
// is cut off from the platform.
func lateOrder(w *world) error {
	g, err := w.addGroup("ledger", 0)
	if err != nil {
		return err
	}
	w.configure(route{host: "shop", kind: "primary", backend: "ledger", deadlineMs: 1000})
	var once sync.Once
	for _, zone := range zones {
		p, err := w.addProxy(zone)
		if err != nil {
			return err
		}
		if w.trouble {
			p.dutyLink.onSend = func() {
				once.Do(func() {
					w.rec.add("cut: %s from the platform for %s", p.name, cutTime)
					p.dutyLink.cut(cutTime)
					p.storeLink.cut(cutTime)
				})
			}
		}
	}
	for _, p := range w.proxies {
		if err := p.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, p := range w.proxies {
		wg.Go(func() { w.load(fmt.Sprint("c", i+1), p.front, "shop", stop) })
	}
	time.Sleep(2 * time.Second)
	g.servers[0].stop()
	time.Sleep(25 * time.Second)
	close(stop)
	wg.Wait()
	w.mu.Lock()
	orders := w.orders
	w.mu.Unlock()
	if len(orders) == 0 {
		return fmt.Errorf("no promotion was ordered")
	}
	var highest uint64
	for _, o := range orders {
		if o.token < highest {
			w.breaks("ONE: at %s the platform got an order of %s for %s with token %d, after it had seen %d", o.at, o.holder, o.id, o.token, highest)
		}
		highest = max(highest, o.token)
	}
	return nil
}

// load writes at intervals until stop is closed.
func (w *world) load(name, address, database string, stop chan struct{}) {
	var c *client
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c != nil {
				c.conn.Close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = w.dial(name, address, database); err != nil {
				c = nil
				continue
			}
		}
		if _, err := c.run(newID(), fmt.Sprintf("WRITE item-%s %d", name, n)); err != nil {
			c.conn.Close()
			c = nil
		}
	}
}

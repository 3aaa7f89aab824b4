//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["smuggle"] = smuggle }

func smuggle(w *world) error {
	g, err := w.addGroup("ledger", 0)
	if err != nil {
		return err
	}
	w.configure(route{host: "shop", kind: "primary", backend: "ledger", deadlineMs: 1000})
	p, err := w.addProxy("zone-a")
	if err != nil {
		return err
	}
	if err := p.awaitReady(readyTimeout); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c, err := w.dial("c1", p.front, "shop")
	if err != nil {
		return err
	}
	note := "two jars"
	if w.trouble {
		note = "two jars\nQUERY 00000000deadbeef WRITE stock 0"
	}
	sent := map[string]string{}
	id := newID()
	sent[id] = "WRITE note " + note
	r, err := c.run(id, sent[id])
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.runs {
		if text, ok := sent[x.id]; !ok {
			w.breaks("UNASKED: server %s ran %q with id %s, which no client sent", x.server, x.text, x.id)
		} else if text != x.text {
			w.breaks("UNASKED: server %s ran %q for the sent text %q; the client got %s", x.server, x.text, text, r)
		}
	}
	if len(g.runs) == 0 {
		return fmt.Errorf("no server ran the write: %s", strings.TrimSpace(r.String()))
	}
	return nil
}

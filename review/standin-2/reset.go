//go:build review2

package main

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

const (
	// greyShare is the share of its requests that the primary answers with BUSY.
	greyShare = 0.4
	// minIdleTime and idleSpread say how long the primary is left alone between two clients.
	minIdleTime = 550 * time.Millisecond
	idleSpread  = 300 * time.Millisecond
	greyTime    = 40 * time.Second
	readyTime   = 3 * time.Second
)

// refusedReset plays a primary that answers a part of its requests with BUSY. Clients with
// and without session values read from it in turns; meanwhile others read from replicas.
func refusedReset(w *world, trouble bool) ([]string, error) {
	p, err := w.addProxy(1)
	if err != nil {
		return nil, err
	}
	time.Sleep(readyTime)
	if trouble {
		w.failPrimary(statement.Busy)
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.readBounded(p.front, stop)
	expected, served := make(expectations), 0
	for n, end := 0, time.Now().Add(greyTime); time.Now().Before(end); n++ {
		c, err := w.connect(fmt.Sprintf("c%d", n), p.front, newest)
		if err != nil {
			return nil, err
		}
		if n%2 == 0 {
			if _, _, err := c.do(statement.Statement{Kind: statement.Set, Name: "account", Value: fmt.Sprintf("a%d", n)}); err != nil {
				return nil, err
			}
		}
		for range 4 {
			id, r, err := c.do(statement.Statement{Kind: statement.Read, Arguments: "item"})
			expected[id] = maps.Clone(c.values)
			if err == nil && r.Code == statement.OK {
				served++
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.close()
		time.Sleep(minIdleTime + rand.N(idleSpread))
	}
	return w.foreignValues(expected), enough(served)
}

// enough returns an error if too few reads were served for a verdict.
func enough(served int) error {
	if served < 10 {
		return errors.New("too few reads were served")
	}
	return nil
}

// failPrimary makes the first server fail a part of its requests with a code from now on.
func (w *world) failPrimary(code statement.Code) {
	w.note("the primary i-0 fails %.0f%% of its requests with %s from now on", 100*greyShare, code)
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(1, 2))
	w.setFail(func(id tables.UpstreamID, st statement.Statement) statement.Code {
		mu.Lock()
		defer mu.Unlock()
		if id != "i-0" || st.Kind == statement.Rollback || r.Float64() >= greyShare {
			return statement.OK
		}
		return code
	})
}

// foreignValues returns the statements that ran with other session values than those that
// were acknowledged to their client.
func (w *world) foreignValues(expected expectations) []string {
	var broken []string
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, values := range expected {
		for _, x := range w.runs[id] {
			if !maps.Equal(x.values, values) {
				broken = append(broken, fmt.Sprintf("%s ran at %s, connection %d, with the session values %v; its client has %v", id, x.server, x.connection, x.values, values))
			}
		}
	}
	slices.Sort(broken)
	return broken
}

// readBounded reads data of a stated age, which replicas serve.
func (w *world) readBounded(address string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c, err := w.connect(fmt.Sprintf("b%d", n), address, bounded)
		if err != nil {
			continue
		}
		_, _, _ = c.do(statement.Statement{Kind: statement.Read, Arguments: "item"})
		c.close()
	}
}

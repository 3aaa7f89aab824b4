//go:build review2

package main

import (
	"fmt"
	"maps"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/statement"
)

// preparationTime is how long the case lasts.
const preparationTime = 10 * time.Second

// failedPreparation plays a primary that fails a part of its requests with FAILED. Clients
// set a session value inside a transaction and run a prepared statement; clients without
// session values read after them.
func failedPreparation(w *world, trouble bool) ([]string, error) {
	p, err := w.addProxy(1)
	if err != nil {
		return nil, err
	}
	time.Sleep(readyTime)
	if trouble {
		w.failPrimary(statement.RunFailed)
	}
	expected, served := make(expectations), 0
	for n, end := 0, time.Now().Add(preparationTime); time.Now().Before(end); n++ {
		c, err := w.connect(fmt.Sprintf("t%d", n), p.front, newest)
		if err != nil {
			return nil, err
		}
		for _, st := range []statement.Statement{
			{Kind: statement.Begin},
			{Kind: statement.Read, Arguments: "item"},
			{Kind: statement.Set, Name: "account", Value: fmt.Sprintf("a%d", n)},
			{Kind: statement.Prepare, Name: "s1", Value: fmt.Sprintf("shape%d", n)},
			{Kind: statement.Execute, Name: "s1", Arguments: "item"},
			{Kind: statement.Commit},
		} {
			id, r, err := c.do(st)
			if err != nil {
				return nil, err
			}
			if st.Kind == statement.Read || st.Kind == statement.Execute {
				expected[id] = maps.Clone(c.values)
			}
			if r.Code != statement.OK {
				break
			}
		}
		c.close()
		time.Sleep(20 * time.Millisecond)
		if c, err = w.connect(fmt.Sprintf("c%d", n), p.front, newest); err != nil {
			return nil, err
		}
		id, r, err := c.do(statement.Statement{Kind: statement.Read, Arguments: "item"})
		expected[id] = maps.Clone(c.values)
		if err == nil && r.Code == statement.OK {
			served++
		}
		c.close()
		time.Sleep(20 * time.Millisecond)
	}
	return w.foreignValues(expected), enough(served)
}

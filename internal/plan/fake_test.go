package plan

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/cranberrystage/cranberrystage/internal/platform"
)

// fault is what happens to one platform request.
type fault int

const (
	faultNone fault = iota
	// faultUnavailable rejects the request without effect.
	faultUnavailable
	// faultLostBefore loses the request without effect; the outcome is unknown.
	faultLostBefore
	// faultLostAfter applies the request and loses the response; the outcome is unknown.
	faultLostAfter
)

// fakePlatform is a platform in memory. It stores the outcome of each transaction
// id, so that commits are idempotent.
type fakePlatform struct {
	rows     map[string]platform.Row
	objects  map[string][]byte
	outcomes map[string]error
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		rows:     make(map[string]platform.Row),
		objects:  make(map[string][]byte),
		outcomes: make(map[string]error),
	}
}

func (f *fakePlatform) clone() *fakePlatform {
	return &fakePlatform{
		rows:     maps.Clone(f.rows),
		objects:  maps.Clone(f.objects),
		outcomes: maps.Clone(f.outcomes),
	}
}

func (f *fakePlatform) commit(t platform.Txn) error {
	if out, ok := f.outcomes[t.ID]; ok {
		return out
	}
	f.outcomes[t.ID] = f.apply(t)
	return f.outcomes[t.ID]
}

func (f *fakePlatform) apply(t platform.Txn) error {
	for _, c := range t.Conditions {
		if f.rows[c.Key].Version != c.Version {
			return platform.ErrConflict
		}
	}
	for _, w := range t.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.rows[w.Key].Version + 1}
	}
	return nil
}

// client is one operator's connection to the platform. before runs before each
// request and may delay it or make it fail.
type client struct {
	*fakePlatform
	before func() fault
}

func (c client) do(request func() error) error {
	f := c.before()
	switch f {
	case faultUnavailable:
		return platform.ErrUnavailable
	case faultLostBefore:
		return platform.ErrUnknown
	}
	err := request()
	if f == faultLostAfter {
		return platform.ErrUnknown
	}
	return err
}

type fakeTables struct{ client }

func (t fakeTables) Get(_ context.Context, key string) (row platform.Row, err error) {
	err = t.do(func() error {
		var ok bool
		if row, ok = t.rows[key]; !ok {
			return platform.ErrNotFound
		}
		return nil
	})
	return row, err
}

func (t fakeTables) List(_ context.Context, prefix string) (rows []platform.Row, err error) {
	err = t.do(func() error {
		for key, row := range t.rows {
			if strings.HasPrefix(key, prefix) {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return rows, err
}

func (t fakeTables) Commit(_ context.Context, txn platform.Txn) error {
	return t.do(func() error { return t.commit(txn) })
}

type fakeObjects struct{ client }

func (o fakeObjects) Put(_ context.Context, key string, body []byte) error {
	return o.do(func() error {
		o.objects[key] = body
		return nil
	})
}

func (o fakeObjects) Get(_ context.Context, key string) (body []byte, err error) {
	err = o.do(func() error {
		var ok bool
		if body, ok = o.objects[key]; !ok {
			return platform.ErrNotFound
		}
		return nil
	})
	return body, err
}

func (f *fakePlatform) store(before func() fault) Store {
	c := client{fakePlatform: f, before: before}
	return Store{Tables: fakeTables{c}, Objects: fakeObjects{c}}
}

func healthy() fault { return faultNone }

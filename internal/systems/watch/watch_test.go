package watch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/event"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func document(groups int) config.Document {
	var doc config.Document
	for i := range groups {
		id := fmt.Sprintf("g%04d", i)
		g := config.Group{ID: tables.GroupID(id), FirstPrimary: tables.UpstreamID(id + "-a")}
		for _, s := range []string{"a", "b", "c"} {
			g.Upstreams = append(g.Upstreams, config.Upstream{ID: tables.UpstreamID(id + "-" + s), Address: id + s, Slots: 3})
		}
		doc.Groups = append(doc.Groups, g)
	}
	return doc
}

// candidateOf makes this VM a candidate of groups only.
func candidateOf(groups ...tables.GroupID) func(*tables.World, tables.GroupID) bool {
	return func(_ *tables.World, id tables.GroupID) bool { return slices.Contains(groups, id) }
}

func TestOnlyNeededGroupsAreWatched(t *testing.T) {
	w := tables.NewWorld("vm-1", "dc", "")
	s := New(DefaultOptions(candidateOf("g0007")))
	s.Apply(1, w, document(100))
	assert.DeepEqual(t, w.Groups.Keys(), []tables.GroupID{"g0007"})
	assert.Equal(t, w.Upstreams.Len(), 3)

	s.Handle(2, w, event.GroupUsed{Group: "g0042"})
	assert.Equal(t, w.Groups.Len(), 2)
	s.Handle(3, w, event.GroupUsed{Group: "undeclared"})
	assert.Equal(t, w.Groups.Len(), 2)

	s.Tick(tables.Time(11*time.Minute), w)
	assert.DeepEqual(t, w.Groups.Keys(), []tables.GroupID{"g0007"})
	assert.Equal(t, w.Upstreams.Len(), 3)
}

func TestAllGroupsAreWatchedUpToWatchAll(t *testing.T) {
	w := tables.NewWorld("vm-1", "dc", "")
	s := New(DefaultOptions(candidateOf()))
	s.Apply(1, w, document(6))
	assert.Equal(t, w.Groups.Len(), 6)
}

func TestApplyKeepsObservedStateAndRemovesUndeclared(t *testing.T) {
	w := tables.NewWorld("vm-1", "dc", "")
	s := New(DefaultOptions(candidateOf()))
	s.Apply(1, w, document(2))
	g, _ := w.Groups.Get("g0000")
	g.Term, g.Primary = 5, "g0000-b"
	w.Groups.Put("g0000", g)
	u, _ := w.Upstreams.Get("g0000-b")
	u.HasStatus = true
	w.Upstreams.Put("g0000-b", u)
	w.Rows.Put("g0001", tables.StoredGroupRow{Version: 3})

	next := document(1)
	next.Groups[0].Upstreams[1].Leaving = true
	s.Apply(2, w, next)
	g, _ = w.Groups.Get("g0000")
	assert.Equal(t, g.Term, tables.Term(5))
	assert.Equal(t, g.Primary, tables.UpstreamID("g0000-b"))
	u, _ = w.Upstreams.Get("g0000-b")
	assert.Assert(t, u.HasStatus && u.Leaving && u.DeclaredLeaving)
	assert.Equal(t, w.Groups.Len(), 1)
	assert.Equal(t, w.Upstreams.Len(), 3)
	assert.Equal(t, w.Rows.Len(), 0)
}

func TestChangedAddressClearsStatus(t *testing.T) {
	w := tables.NewWorld("vm-1", "dc", "")
	s := New(DefaultOptions(candidateOf()))
	s.Apply(1, w, document(1))
	u, _ := w.Upstreams.Get("g0000-a")
	u.HasStatus = true
	w.Upstreams.Put("g0000-a", u)
	doc := document(1)
	doc.Groups[0].Upstreams[0].Address = "new address"
	s.Apply(2, w, doc)
	u, _ = w.Upstreams.Get("g0000-a")
	assert.Assert(t, !u.HasStatus)
	assert.Equal(t, u.Address, "new address")
}

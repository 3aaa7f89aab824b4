package config

import (
	"fmt"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawDocument returns a random document. It uses few names, so that two documents
// have names in common.
func drawDocument(t *rapid.T, label string) Document {
	var d Document
	for i := range 5 {
		name := fmt.Sprintf("n%d", i)
		choose := func(kind string) int { return rapid.IntRange(0, 2).Draw(t, label+kind+name) }
		if n := choose("service"); n > 0 {
			d.Services = append(d.Services, Service{Name: tables.ServiceID(name), Weight: n})
		}
		if n := choose("group"); n > 0 {
			up := Upstream{ID: tables.UpstreamID(name), Slots: n, Leaving: n == 2}
			d.Groups = append(d.Groups, Group{ID: tables.GroupID(name), Upstreams: []Upstream{up}})
		}
		if n := choose("user"); n > 0 {
			d.Users = append(d.Users, User{Name: name, Iterations: n})
		}
		if n := choose("operator"); n > 0 {
			d.Operators = append(d.Operators, Operator{Name: name, PublicKey: fmt.Sprint(n)})
		}
		if choose("vm") > 0 {
			d.LeavingVMs = append(d.LeavingVMs, tables.VMID(name))
		}
	}
	return d
}

func drawRevision(t *rapid.T, label string) Revision {
	rev, err := NewRevision(drawDocument(t, label))
	assert.NilError(t, err)
	return rev
}

// encoded returns d after encoding and decoding.
func encoded(t assert.TestingT, d Delta) Delta {
	body, err := d.Encode()
	assert.NilError(t, err)
	d, err = DecodeDelta(body)
	assert.NilError(t, err)
	return d
}

func TestDeltaAppliesToItsBaseOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, new, other := drawRevision(t, "old"), drawRevision(t, "new"), drawRevision(t, "other")
		d := encoded(t, Diff(old, new))
		got, err := Apply(old, d)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, new)
		if other.Hash != old.Hash {
			_, err = Apply(other, d)
			assert.ErrorIs(t, err, ErrBase)
			d.BaseHash = other.Hash
			got, err = Apply(other, d)
			assert.Assert(t, err != nil || got.Hash == new.Hash)
		}
	})
}

func TestModifiedDeltaIsRejected(t *testing.T) {
	old, err := NewRevision(Document{Users: []User{{Name: "a"}}})
	assert.NilError(t, err)
	new, err := NewRevision(Document{Users: []User{{Name: "a"}, {Name: "b"}}})
	assert.NilError(t, err)
	d := Diff(old, new)
	d.Users.Set[0].Iterations++
	_, err = Apply(old, d)
	assert.ErrorIs(t, err, ErrResult)
	_, err = DecodeDelta([]byte("{"))
	assert.ErrorContains(t, err, "decode configuration delta")
}

func TestLogCatchesUpWithAnotherLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ahead, behind Log
		for v := range uint64(rapid.IntRange(2, 40).Draw(t, "versions")) {
			rev := drawRevision(t, fmt.Sprint(v))
			assert.Assert(t, ahead.Put(v+1, rev))
			assert.Assert(t, !ahead.Put(v+1, rev))
			if v == 0 || rapid.Bool().Draw(t, "keeps up") {
				assert.Assert(t, behind.Put(v+1, rev))
			}
		}
		if behind.Version() == ahead.Version() {
			return
		}
		steps, ok := ahead.Since(behind.Version())
		if !ok {
			return
		}
		rev, err := behind.Follow(steps)
		assert.NilError(t, err)
		assert.DeepEqual(t, rev, ahead.Current())
	})
}

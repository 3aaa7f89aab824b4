package config

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// DeltaPrefix is followed by the hash of the result, a slash and the hash of
// the base; the object is the encoded Delta that leads from base to result.
const DeltaPrefix = "config-delta/"

// ErrBase says that a delta belongs to another document than the one at hand.
var ErrBase = errors.New("the delta has another base")

// ErrResult says that a delta did not lead to the document it names.
var ErrResult = errors.New("the delta does not lead to its result")

// DeltaKey returns the object key of the delta that leads from base to result.
func DeltaKey(base, result string) string { return DeltaPrefix + result + "/" + base }

// Changes are the entities of one kind that differ between two documents.
type Changes[T any] struct {
	// Set are the entities that were added or changed.
	Set []T `json:"set,omitempty"`
	// Removed names the entities that are gone.
	Removed []string `json:"removed,omitempty"`
}

// Delta is what differs between two documents.
type Delta struct {
	// BaseHash is the content hash of the document that the delta applies to.
	BaseHash string `json:"baseHash"`
	// ResultHash is the content hash of the document that it leads to.
	ResultHash string `json:"resultHash"`
	// Services are the changed services.
	Services Changes[Service] `json:"services,omitzero"`
	// Groups are the changed groups.
	Groups Changes[Group] `json:"groups,omitzero"`
	// Users are the changed users.
	Users Changes[User] `json:"users,omitzero"`
	// Operators are the changed operators.
	Operators Changes[Operator] `json:"operators,omitzero"`
	// LeavingVMs are the VMs that became leaving or are so no more.
	LeavingVMs Changes[tables.VMID] `json:"leavingVMs,omitzero"`
}

// Diff returns the delta that leads from old to new.
func Diff(old, new Revision) Delta {
	a, b := old.Document, new.Document
	return Delta{
		BaseHash:   old.Hash,
		ResultHash: new.Hash,
		Services:   diff(a.Services, b.Services, serviceName),
		Groups:     diff(a.Groups, b.Groups, groupName),
		Users:      diff(a.Users, b.Users, userName),
		Operators:  diff(a.Operators, b.Operators, operatorName),
		LeavingVMs: diff(a.LeavingVMs, b.LeavingVMs, vmName),
	}
}

// Apply returns the revision that d leads to from old. The error is ErrBase if
// d belongs to another document and ErrResult if the result has another hash.
func Apply(old Revision, d Delta) (Revision, error) {
	return ApplyAll(old, []Delta{d})
}

// ApplyAll applies deltas one after another and checks the hash of the last
// result, which stands for all before it.
func ApplyAll(old Revision, deltas []Delta) (Revision, error) {
	doc, hash := old.Document, old.Hash
	for _, d := range deltas {
		if d.BaseHash != hash {
			return Revision{}, ErrBase
		}
		doc, hash = patch(doc, d), d.ResultHash
	}
	rev, err := NewRevision(doc)
	if err != nil {
		return Revision{}, err
	}
	if rev.Hash != hash {
		return Revision{}, ErrResult
	}
	return rev, nil
}

// Encode returns the JSON of d.
func (d Delta) Encode() ([]byte, error) {
	body, err := json.Marshal(d)
	return body, errors.Wrap(err, "encode configuration delta")
}

// DecodeDelta reads a delta written by Encode.
func DecodeDelta(body []byte) (Delta, error) {
	var d Delta
	if err := json.Unmarshal(body, &d); err != nil {
		return Delta{}, errors.Wrap(err, "decode configuration delta")
	}
	return d, nil
}

// patch returns doc with d's changes. It shares what did not change with doc.
func patch(doc Document, d Delta) Document {
	return Document{
		Services:   merge(doc.Services, d.Services, serviceName),
		Groups:     merge(doc.Groups, d.Groups, groupName),
		Users:      merge(doc.Users, d.Users, userName),
		Operators:  merge(doc.Operators, d.Operators, operatorName),
		LeavingVMs: merge(doc.LeavingVMs, d.LeavingVMs, vmName),
	}
}

func diff[T any](old, new []T, name func(T) string) Changes[T] {
	before := byName(old, name)
	var c Changes[T]
	for _, v := range new {
		was, ok := before[name(v)]
		if !ok || !reflect.DeepEqual(was, v) {
			c.Set = append(c.Set, v)
		}
		delete(before, name(v))
	}
	for n := range before {
		c.Removed = append(c.Removed, n)
	}
	slices.Sort(c.Removed)
	return c
}

// merge returns the entities of old with c's changes in ascending order of name.
func merge[T any](old []T, c Changes[T], name func(T) string) []T {
	if len(c.Set) == 0 && len(c.Removed) == 0 {
		return old
	}
	drop := byName(c.Set, name)
	kept := slices.DeleteFunc(slices.Clone(old), func(v T) bool {
		_, replaced := drop[name(v)]
		return replaced || slices.Contains(c.Removed, name(v))
	})
	kept = append(kept, c.Set...)
	slices.SortFunc(kept, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	if len(kept) == 0 {
		return nil
	}
	return kept
}

func byName[T any](values []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(values))
	for _, v := range values {
		m[name(v)] = v
	}
	return m
}

func serviceName(s Service) string   { return string(s.Name) }
func groupName(g Group) string       { return string(g.ID) }
func userName(u User) string         { return u.Name }
func operatorName(o Operator) string { return o.Name }
func vmName(id tables.VMID) string   { return string(id) }

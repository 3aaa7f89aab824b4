package config

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// DeltaPrefix followed by the hash of the result, a slash and the hash of the
// base is the key of the encoded Delta from base to result.
const DeltaPrefix = "config-delta/"

// ErrBase means that a delta was made for another document than the given one.
var ErrBase = errors.New("the delta was made for another document")

// ErrResult means that applying a delta produced another document than the delta
// states.
var ErrResult = errors.New("applying the delta gives a document with another hash than expected")

// DeltaKey returns the object key of the delta from base to result.
func DeltaKey(base, result string) string { return DeltaPrefix + result + "/" + base }

// Changes holds the entities of one kind that differ between two documents.
type Changes[T any] struct {
	// Set are the entities that were added or changed.
	Set []T `json:"set,omitempty"`
	// Removed names the entities that were removed.
	Removed []string `json:"removed,omitempty"`
}

// Delta is the difference between two documents.
type Delta struct {
	// BaseHash is the content hash of the document that the delta applies to.
	BaseHash string `json:"baseHash"`
	// ResultHash is the content hash of the document that it produces.
	ResultHash string `json:"resultHash"`
	// Services are the changed services.
	Services Changes[Service] `json:"services,omitzero"`
	// Groups are the changed groups.
	Groups Changes[Group] `json:"groups,omitzero"`
	// Users are the changed users.
	Users Changes[User] `json:"users,omitzero"`
	// Operators are the changed operators.
	Operators Changes[Operator] `json:"operators,omitzero"`
	// LeavingVMs are the VMs that started or stopped leaving.
	LeavingVMs Changes[tables.VMID] `json:"leavingVMs,omitzero"`
}

// Diff returns the delta from old to new.
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

// Apply applies d to old. The error is ErrBase if d was made for another document
// and ErrResult if the result has another hash than d states.
func Apply(old Revision, d Delta) (Revision, error) {
	return ApplyAll(old, []Delta{d})
}

// ApplyAll applies deltas in order. It checks only the hash of the final result,
// because an error in an earlier step would change that too.
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

// DecodeDelta decodes a delta encoded by Encode.
func DecodeDelta(body []byte) (Delta, error) {
	var d Delta
	if err := json.Unmarshal(body, &d); err != nil {
		return Delta{}, errors.Wrap(err, "decode configuration delta")
	}
	return d, nil
}

// patch returns doc with d's changes. The result shares unchanged parts with doc.
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
	changed := byName(c.Set, name)
	kept := slices.DeleteFunc(slices.Clone(old), func(v T) bool {
		_, replaced := changed[name(v)]
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

package plan

import (
	"fmt"
	"reflect"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// Kind says what a change does to its subject.
type Kind string

// Kinds of changes.
const (
	// Added means that the subject is new.
	Added Kind = "added"
	// Removed means that the subject is no longer declared.
	Removed Kind = "removed"
	// Changed means that the subject has other values.
	Changed Kind = "changed"
	// Leaving means that the subject receives no new work from now on.
	Leaving Kind = "leaving"
	// Returning means that the subject was leaving and receives work again.
	Returning Kind = "returning"
	// PrimaryMove means that the group gets another primary.
	PrimaryMove Kind = "primary move"
)

// Change is one difference between two documents.
type Change struct {
	// Kind is the kind of change.
	Kind Kind `json:"kind"`
	// Subject names what changes, such as "upstream stock1-a".
	Subject string `json:"subject"`
	// Text describes the change in one sentence.
	Text string `json:"text"`
}

// Diff lists the changes from old to new.
func Diff(old, new config.Document, observed State) []Change {
	var out []Change
	out = append(out, compareServices(old.Services, new.Services)...)
	out = append(out, compareGroups(old, new, observed)...)
	out = append(out, compareUsers(old.Users, new.Users)...)
	out = append(out, compareOperators(old.Operators, new.Operators)...)
	out = append(out, compareVMs(old.LeavingVMs, new.LeavingVMs)...)
	return out
}

// pair holds the old and the new value of one key; nil means absent.
type pair[T any] struct {
	old, new *T
}

// match pairs the values of two lists by key: first the values in olds, then the
// added ones.
func match[T any, K comparable](olds, news []T, key func(T) K) []pair[T] {
	unmatched := make(map[K]*T, len(news))
	for i := range news {
		unmatched[key(news[i])] = &news[i]
	}
	pairs := make([]pair[T], 0, len(olds))
	for i := range olds {
		k := key(olds[i])
		pairs = append(pairs, pair[T]{old: &olds[i], new: unmatched[k]})
		delete(unmatched, k)
	}
	for i := range news {
		if _, added := unmatched[key(news[i])]; added {
			pairs = append(pairs, pair[T]{new: &news[i]})
		}
	}
	return pairs
}

func (p pair[T]) added() bool   { return p.old == nil }
func (p pair[T]) removed() bool { return p.new == nil }
func (p pair[T]) same() bool {
	return p.old != nil && p.new != nil && reflect.DeepEqual(*p.old, *p.new)
}

func change(kind Kind, subject, format string, args ...any) Change {
	return Change{Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)}
}

// valueChange describes the change of a value without comparing its fields.
func valueChange[T any](subject string, p pair[T], added, removed, changed string) []Change {
	switch {
	case p.same():
		return nil
	case p.added():
		return []Change{change(Added, subject, "%s", added)}
	case p.removed():
		return []Change{change(Removed, subject, "%s", removed)}
	default:
		return []Change{change(Changed, subject, "%s", changed)}
	}
}

func compareUsers(old, new []config.User) []Change {
	var out []Change
	for _, p := range match(old, new, func(u config.User) string { return u.Name }) {
		out = append(out, valueChange("user "+nameOf(p, func(u config.User) string { return u.Name }), p,
			"The user may log in.",
			"The user may not log in any more; open connections stay.",
			"The password or the services of the user change at the next login.")...)
	}
	return out
}

func compareOperators(old, new []config.Operator) []Change {
	var out []Change
	for _, p := range match(old, new, func(o config.Operator) string { return o.Name }) {
		out = append(out, valueChange("operator "+nameOf(p, func(o config.Operator) string { return o.Name }), p,
			"The operator may confirm plans.",
			"The operator may not confirm plans any more.",
			"The operator has another key.")...)
	}
	return out
}

func nameOf[T any](p pair[T], name func(T) string) string {
	if p.old != nil {
		return name(*p.old)
	}
	return name(*p.new)
}

func compareVMs(old, new []tables.VMID) []Change {
	var out []Change
	for _, p := range match(old, new, func(id tables.VMID) tables.VMID { return id }) {
		switch {
		case p.added():
			out = append(out, change(Leaving, "VM "+string(*p.new), "The VM takes no new callers and is drained."))
		case p.removed():
			out = append(out, change(Returning, "VM "+string(*p.old), "The VM takes callers again."))
		}
	}
	return out
}

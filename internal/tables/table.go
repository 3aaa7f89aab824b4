package tables

import (
	"cmp"
	"slices"
)

// Table is a map of entities that iterates in ascending key order, so that a
// system that iterates over it is deterministic.
type Table[K cmp.Ordered, V any] struct {
	rows map[K]V
	keys []K
}

// NewTable returns an empty table.
func NewTable[K cmp.Ordered, V any]() *Table[K, V] {
	return &Table[K, V]{rows: make(map[K]V)}
}

// Get returns the entity under k.
func (t *Table[K, V]) Get(k K) (V, bool) {
	v, ok := t.rows[k]
	return v, ok
}

// Put stores v under k and replaces any earlier value.
func (t *Table[K, V]) Put(k K, v V) {
	if _, ok := t.rows[k]; !ok {
		i, _ := slices.BinarySearch(t.keys, k)
		t.keys = slices.Insert(t.keys, i, k)
	}
	t.rows[k] = v
}

// Delete removes the entity under k, if any.
func (t *Table[K, V]) Delete(k K) {
	if _, ok := t.rows[k]; !ok {
		return
	}
	delete(t.rows, k)
	i, _ := slices.BinarySearch(t.keys, k)
	t.keys = slices.Delete(t.keys, i, i+1)
}

// Len returns the number of entities.
func (t *Table[K, V]) Len() int { return len(t.keys) }

// Keys returns a copy of the keys in ascending order.
func (t *Table[K, V]) Keys() []K { return slices.Clone(t.keys) }

// All iterates over the entities in ascending key order. During the iteration
// the caller may Put existing keys but must not add or delete keys.
func (t *Table[K, V]) All() func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		for _, k := range t.keys {
			if !yield(k, t.rows[k]) {
				return
			}
		}
	}
}

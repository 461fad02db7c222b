package control

import (
	"slices"
	"strings"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// historyLength is the number of recent states against which changes are
// computed. A peer with an older state gets the full state.
const historyLength = 16

// history holds the most recently added states by revision or digest. The control
// goroutine owns it; the states are immutable.
type history[K comparable, V any] struct {
	order []K
	byKey map[K]V
}

func newHistory[K comparable, V any]() *history[K, V] {
	return &history[K, V]{byKey: make(map[K]V)}
}

// add stores a state unless its key is present, and evicts the oldest state beyond
// historyLength.
func (h *history[K, V]) add(key K, value V) {
	if _, ok := h.byKey[key]; ok {
		return
	}
	h.order = append(h.order, key)
	h.byKey[key] = value
	if len(h.order) > historyLength {
		delete(h.byKey, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history[K, V]) get(key K) (V, bool) {
	v, ok := h.byKey[key]
	return v, ok
}

// change is the difference between two lists of items that are sorted by key.
type change[T comparable] struct {
	// Changed holds the items that were added or modified.
	Changed []T
	// Removed holds the keys of the removed items.
	Removed []string
}

// changeOf returns the change from base to next. Both must be sorted by key.
func changeOf[T comparable](base, next []T, key func(T) string) change[T] {
	var out change[T]
	i := 0
	for _, item := range next {
		for i < len(base) && key(base[i]) < key(item) {
			out.Removed = append(out.Removed, key(base[i]))
			i++
		}
		known := i < len(base) && key(base[i]) == key(item)
		if !known || base[i] != item {
			out.Changed = append(out.Changed, item)
		}
		if known {
			i++
		}
	}
	for _, item := range base[i:] {
		out.Removed = append(out.Removed, key(item))
	}
	return out
}

// apply returns the sorted items that result from applying the change to base.
func (c change[T]) apply(base []T, key func(T) string) []T {
	replaced := make(map[string]bool, len(c.Removed)+len(c.Changed))
	for _, k := range c.Removed {
		replaced[k] = true
	}
	for _, item := range c.Changed {
		replaced[key(item)] = true
	}
	out := make([]T, 0, len(base)+len(c.Changed))
	for _, item := range base {
		if !replaced[key(item)] {
			out = append(out, item)
		}
	}
	out = append(out, c.Changed...)
	slices.SortFunc(out, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	return out
}

func vmKey(vm membership.VM) string         { return vm.ID }
func fileKey(f catalog.FileRevision) string { return f.Name }

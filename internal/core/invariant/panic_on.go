//go:build invariants

package invariant

const panics = true

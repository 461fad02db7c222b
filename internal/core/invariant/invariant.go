// Package invariant counts violations of conditions that must always hold.
// `ryecourse serve` uses it.
//
// Each violation is counted under a name that the metrics page exposes; every
// counter must stay zero. Under the build tag "invariants" a violation panics.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

var counters sync.Map // name string -> *atomic.Uint64

// Check counts a violation of the named invariant when ok is false. Names are
// lower case with underscores. It is safe for concurrent use and allocates
// nothing when ok is true.
func Check(ok bool, name string) {
	if ok {
		return
	}
	fail(name)
}

func fail(name string) {
	c, _ := counters.LoadOrStore(name, new(atomic.Uint64))
	c.(*atomic.Uint64).Add(1)
	if panics {
		panic(fmt.Sprintf("invariant violated: %s", name))
	}
}

// Violations returns the count of each invariant that has been violated.
func Violations() map[string]uint64 {
	out := make(map[string]uint64)
	counters.Range(func(name, c any) bool {
		out[name.(string)] = c.(*atomic.Uint64).Load()
		return true
	})
	return out
}

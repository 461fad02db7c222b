package servedaemon

import (
	"sync"
	"time"
)

const (
	// refusalInterval is the time after which one more refused message may be
	// recorded.
	refusalInterval = 10 * time.Second
	// refusalBurst is the number of refused messages recorded at once.
	refusalBurst = 8
)

// refusalBudget bounds the audit entries that strangers can cause, so that they
// don't push the daemon's own out of the trail. The zero value is full. It is
// safe for concurrent use.
type refusalBudget struct {
	mu         sync.Mutex
	full       time.Time // when the budget is full again
	suppressed int
}

// take tells whether to record a refusal, and how many were not recorded since
// the last that was.
func (b *refusalBudget) take(now time.Time) (bool, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.full.Before(now) {
		b.full = now
	}
	if b.full.Sub(now) > (refusalBurst-1)*refusalInterval {
		b.suppressed++
		return false, 0
	}
	b.full = b.full.Add(refusalInterval)
	n := b.suppressed
	b.suppressed = 0
	return true, n
}

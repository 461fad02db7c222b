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

// refusalLimiter bounds the audit entries that strangers can cause, so that they
// don't push the daemon's own out of the trail. The zero value is full. It is
// safe for concurrent use.
type refusalLimiter struct {
	mu         sync.Mutex
	fullAt     time.Time // when the budget is full again
	suppressed int
}

// allow tells whether to record a refusal, and how many were not recorded since
// the last that was.
func (b *refusalLimiter) allow(now time.Time) (bool, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fullAt.Before(now) {
		b.fullAt = now
	}
	if b.fullAt.Sub(now) > (refusalBurst-1)*refusalInterval {
		b.suppressed++
		return false, 0
	}
	b.fullAt = b.fullAt.Add(refusalInterval)
	n := b.suppressed
	b.suppressed = 0
	return true, n
}

package servedaemon

import (
	"sync"
	"time"
)

const (
	// refusalInterval is the refill interval of the budget: after a burst, one more
	// refusal may be recorded per interval.
	refusalInterval = 10 * time.Second
	// refusalBurst is the number of refusals that may be recorded at once.
	refusalBurst = 8
)

// refusalLimiter rate-limits the audit entries for refused peer messages, so that an
// unauthenticated sender can't evict the daemon's own entries from the trail. The
// zero value allows a full burst. It is safe for concurrent use.
type refusalLimiter struct {
	mu         sync.Mutex
	fullAt     time.Time // when a full burst is allowed again
	suppressed int
}

// allow reports whether to record a refusal, and if so, how many were suppressed
// since the last recorded one.
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

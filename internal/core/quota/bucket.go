package quota

import (
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// micro is the number of micro-requests in one request.
const micro = 1_000_000

// bucket is one customer's token bucket on this VM. Its lock is held for a few
// arithmetic operations only.
type bucket struct {
	mu       sync.Mutex
	rate     int64
	capacity int64
	tokens   int64
	filledAt time.Duration
}

func newBucket(now membership.Reading, rate, capacity int64) *bucket {
	return &bucket{rate: rate, capacity: capacity, filledAt: now.Mono}
}

func (b *bucket) admit(now membership.Reading) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	gained := int64(float64(b.rate) * (now.Mono - b.filledAt).Seconds())
	if gained > 0 {
		b.tokens = min(b.tokens+gained, b.capacity)
		b.filledAt = now.Mono
	}
	if b.tokens >= micro {
		b.tokens -= micro
		return Decision{OK: true}
	}
	return Decision{RetryAfter: time.Second}
}

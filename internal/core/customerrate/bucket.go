// Package customerrate keeps customers within their rates over all VMs. Each VM
// admits a fraction of a customer's rate that follows its fraction of the
// customer's demand. It is used by `ryecourse gateway`.
//
// For each customer, a VM has two token buckets. The pool is its replica of one
// bucket for the whole fleet, from which requests that the other VMs report are
// deducted. Its own bucket accrues this VM's fraction of the rate and is used when
// the pool runs low. Demand is the arrival rate of a customer's requests,
// admitted or not, as a moving average.
//
// The package has no I/O; callers pass the time.
package customerrate

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate and depth change with the VM's fraction.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	rate       float64 // per second
	depth      float64
}

func (b *bucket) setRate(now time.Time, rate, depth float64) {
	b.refill(now)
	b.rate, b.depth = rate, depth
	b.tokens = min(b.tokens, depth)
}

func (b *bucket) refill(now time.Time) {
	if dt := now.Sub(b.refilledAt).Seconds(); dt > 0 {
		b.tokens = min(b.tokens+dt*b.rate, b.depth)
		b.refilledAt = now
	}
}

func (b *bucket) take(now time.Time) (bool, time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

// decay returns the factor by which a moving average has decayed after dt.
func decay(dt, halfLife time.Duration) float64 {
	return math.Exp2(-dt.Seconds() / halfLife.Seconds())
}

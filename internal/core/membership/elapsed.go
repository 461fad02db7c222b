package membership

import "time"

// Elapsed returns the larger of the monotonic and the wall-clock difference
// between two times read by the same process. The monotonic clock may stop
// while a VM is suspended, and the wall clock may be set back, so a lease or
// permission that is limited by Elapsed ends when either clock reaches its end.
// Elapsed never returns less than 0.
func Elapsed(from, to time.Time) time.Duration {
	mono := to.Sub(from)
	wall := to.Round(0).Sub(from.Round(0))
	return max(mono, wall, 0)
}

// Reading is a simultaneous reading of both clocks, each relative to its own
// origin.
type Reading struct {
	// Mono is the reading of the monotonic clock. Token refill and waits use it
	// alone.
	Mono time.Duration
	// Wall is the reading of the wall clock. Leases and permissions end by Mono
	// or Wall, whichever is first.
	Wall time.Duration
}

// Clock converts a time into a Reading.
type Clock func(now time.Time) Reading

// NewClock returns a Clock with its origin at start, which should include a
// monotonic clock reading.
func NewClock(start time.Time) Clock {
	wall := start.Round(0)
	return func(now time.Time) Reading {
		return Reading{Mono: now.Sub(start), Wall: now.Round(0).Sub(wall)}
	}
}

// Add returns the deadline that is d later on both clocks.
func (r Reading) Add(d time.Duration) Reading {
	return Reading{Mono: r.Mono + d, Wall: r.Wall + d}
}

// Reached reports whether either clock has reached the deadline.
func (r Reading) Reached(deadline Reading) bool {
	return r.Mono >= deadline.Mono || r.Wall >= deadline.Wall
}

// Earlier returns the earlier of two deadlines on each clock.
func (r Reading) Earlier(other Reading) Reading {
	return Reading{Mono: min(r.Mono, other.Mono), Wall: min(r.Wall, other.Wall)}
}

// Since returns the larger of the two clocks' differences, or 0 if both are
// before from.
func (r Reading) Since(from Reading) time.Duration {
	return max(r.Mono-from.Mono, r.Wall-from.Wall, 0)
}

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

// ClockReading is a simultaneous reading of both clocks, each relative to its own
// origin.
type ClockReading struct {
	// Mono is the reading of the monotonic clock. Token refill and waits use it
	// alone.
	Mono time.Duration
	// Wall is the reading of the wall clock. Leases and permissions end by Mono
	// or Wall, whichever is first.
	Wall time.Duration
}

// Clock converts a time into a ClockReading.
type Clock func(now time.Time) ClockReading

// NewClock returns a Clock with its origin at start, which should include a
// monotonic clock reading.
func NewClock(start time.Time) Clock {
	wall := start.Round(0)
	return func(now time.Time) ClockReading {
		return ClockReading{Mono: now.Sub(start), Wall: now.Round(0).Sub(wall)}
	}
}

// Add returns the deadline that is d later on both clocks.
func (r ClockReading) Add(d time.Duration) ClockReading {
	return ClockReading{Mono: r.Mono + d, Wall: r.Wall + d}
}

// Reached reports whether either clock has reached the deadline.
func (r ClockReading) Reached(deadline ClockReading) bool {
	return r.Mono >= deadline.Mono || r.Wall >= deadline.Wall
}

// Earlier returns the earlier of two deadlines on each clock.
func (r ClockReading) Earlier(other ClockReading) ClockReading {
	return ClockReading{Mono: min(r.Mono, other.Mono), Wall: min(r.Wall, other.Wall)}
}

// Since returns the larger of the two clocks' differences, or 0 if both are
// before from.
func (r ClockReading) Since(from ClockReading) time.Duration {
	return max(r.Mono-from.Mono, r.Wall-from.Wall, 0)
}

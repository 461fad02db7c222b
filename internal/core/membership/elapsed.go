package membership

import "time"

// Elapsed returns the larger of the monotonic and the wall-clock difference
// between two readings of the same process. The monotonic clock may stand still
// while a VM is suspended, and the wall clock may be set back; a right that
// ends by Elapsed ends when either clock says so. It never returns less than 0.
func Elapsed(from, to time.Time) time.Duration {
	mono := to.Sub(from)
	wall := to.Round(0).Sub(from.Round(0))
	return max(mono, wall, 0)
}

// Reading is one reading of both clocks, each relative to its own origin.
type Reading struct {
	// Mono is the monotonic clock. It paces tokens and waits.
	Mono time.Duration
	// Wall is the wall clock. Together with Mono it ends rights.
	Wall time.Duration
}

// Clock turns a time into a Reading.
type Clock func(now time.Time) Reading

// NewClock returns a Clock with its origin at start, which should carry a
// monotonic reading.
func NewClock(start time.Time) Clock {
	wall := start.Round(0)
	return func(now time.Time) Reading {
		return Reading{Mono: now.Sub(start), Wall: now.Round(0).Sub(wall)}
	}
}

// Add returns the reading that is due after d on both clocks.
func (r Reading) Add(d time.Duration) Reading {
	return Reading{Mono: r.Mono + d, Wall: r.Wall + d}
}

// Reached reports whether either clock has come to the deadline.
func (r Reading) Reached(deadline Reading) bool {
	return r.Mono >= deadline.Mono || r.Wall >= deadline.Wall
}

// Earlier returns the deadline that is reached first on each clock.
func (r Reading) Earlier(other Reading) Reading {
	return Reading{Mono: min(r.Mono, other.Mono), Wall: min(r.Wall, other.Wall)}
}

// Since returns the larger difference of the two clocks, or 0 if both stand
// before from.
func (r Reading) Since(from Reading) time.Duration {
	return max(r.Mono-from.Mono, r.Wall-from.Wall, 0)
}

package routing

import "time"

// elapsed returns the larger of the monotonic and the wall-clock difference. A
// suspended machine may stop one of the two clocks.
func elapsed(from, to time.Time) time.Duration {
	monotonic := to.Sub(from)
	wall := to.Round(0).Sub(from.Round(0))
	return max(monotonic, wall)
}

package quotasim

import "time"

// tolerance absorbs the rounding of floating-point sums, in requests.
const tolerance = 1e-6

// Curve checks admissions against an arrival curve. A leaky bucket of depth
// burst that drains at rate overflows exactly if some window of length t holds
// more than burst + rate*t admissions (Cruz, A Calculus for Network Delay,
// 1991), so one number covers all windows.
type Curve struct {
	Rate, Burst float64

	level float64
	at    time.Duration
	worst float64
}

// drain brings the level to the given time.
func (c *Curve) drain(at time.Duration) {
	c.level = max(c.level-c.Rate*(at-c.at).Seconds(), 0)
	c.at = at
}

// HasRoom reports whether one more admission stays within the curve.
func (c *Curve) HasRoom(at time.Duration) bool {
	c.drain(at)
	return c.level+1 <= c.Burst+tolerance
}

// Admit counts an admission. It reports whether all windows that end at this
// time are within the curve.
func (c *Curve) Admit(at time.Duration) bool {
	c.drain(at)
	c.level++
	c.worst = max(c.worst, c.level-c.Burst)
	return c.level <= c.Burst+tolerance
}

// Excess returns the largest number of admissions over the curve in any window.
func (c *Curve) Excess() float64 {
	if c.worst <= tolerance {
		return 0
	}
	return c.worst
}

// Change replaces the curve for the windows that begin now.
func (c *Curve) Change(at time.Duration, rate, burst float64) {
	*c = Curve{Rate: rate, Burst: burst, at: at, worst: c.worst}
}

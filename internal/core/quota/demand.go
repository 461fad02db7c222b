package quota

import (
	"math"
	"time"
)

const (
	// TickInterval is the time between two calls of Manager.Tick.
	TickInterval = 100 * time.Millisecond
	// demandTicks is the length of the demand window.
	demandTicks = 20
	// sparseArrivals is the number of arrivals in the window below which no
	// loan is sized by it.
	sparseArrivals = 8
	// slowTicks is the time constant of the slow average, in ticks.
	slowTicks = 80
	// minWindowArrivals is the number of arrivals, expected or counted, from
	// which a shorter window overrides the steady rate.
	minWindowArrivals = 12.0
)

// demandWindow counts the arrivals of the last demandTicks ticks.
type demandWindow struct {
	counts [demandTicks]uint32
	next   int
	sum    int64
	// slow is the rate in requests per second, averaged over about slowTicks.
	slow float64
}

func (d *demandWindow) add(arrivals int64) {
	n := uint32(min(arrivals, math.MaxUint32))
	d.sum += int64(n) - int64(d.counts[d.next])
	d.counts[d.next] = n
	d.next = (d.next + 1) % demandTicks
	d.slow += (float64(n)/TickInterval.Seconds() - d.slow) / slowTicks
}

// sparse reports whether the window has too few arrivals to size a loan by.
func (d *demandWindow) sparse() bool { return d.sum < sparseArrivals }

// idle reports whether nothing arrived within the window.
func (d *demandWindow) idle() bool { return d.sum == 0 }

// last returns the arrivals of the newest n ticks.
func (d *demandWindow) last(n int) int64 {
	var sum int64
	for i := 1; i <= n; i++ {
		sum += int64(d.counts[(d.next-i+demandTicks)%demandTicks])
	}
	return sum
}

// rate estimates the arrival rate in requests per second. It is the steady
// rate, unless a window of 2 or 5 ticks with enough arrivals shows that the
// demand has risen or fallen.
func (d *demandWindow) rate() float64 {
	if d.idle() {
		return 0
	}
	best := d.steadyRate()
	for _, n := range [...]int{2, 5} {
		count := d.last(n)
		expected := best * seconds(n)
		if expected >= minWindowArrivals && float64(count) < expected/2 {
			return float64(count) / seconds(n)
		}
		if count >= minWindowArrivals {
			best = max(best, rateLowerBound(count, n))
		}
	}
	return best
}

// steadyRate is the slow average, unless the window deviates from it by more
// than two standard deviations of a Poisson count: with few arrivals, the
// window varies by a third.
func (d *demandWindow) steadyRate() float64 {
	const deviations = 2
	expected := d.slow * seconds(demandTicks)
	if math.Abs(float64(d.sum)-expected) <= deviations*math.Sqrt(max(expected, 1)) {
		return d.slow
	}
	return float64(d.sum) / seconds(demandTicks)
}

// rateLowerBound is the rate less one standard deviation of a Poisson count.
func rateLowerBound(count int64, ticks int) float64 {
	n := float64(count)
	return (n - math.Sqrt(n)) / seconds(ticks)
}

func seconds(ticks int) float64 {
	return float64(ticks) * TickInterval.Seconds()
}

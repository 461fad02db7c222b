package quota

import (
	"math"
	"time"
)

const (
	// headroom is the rate that a VM wants over its demand.
	headroom = 1.15
	// surplus is the factor over its need at which a VM returns what it has
	// borrowed.
	surplus = 1.3
	// exhaustedFor is the time for which a lender without spare isn't asked for
	// the same customer again.
	exhaustedFor = 500 * time.Millisecond
)

// account is the control goroutine's side of one customer.
type account struct {
	name    string
	bucket  *bucket
	layout  layout
	earlier []generation
	demand  demandWindow
	// need is what the VM wants to hold, from the last tick.
	need Share
	// exhausted holds until when a lender isn't asked, on the monotonic clock.
	exhausted map[string]time.Duration
}

// size works out the need from the demand. The capacity grows faster than the
// rate at first, because arrivals come in clusters.
func (a *account) size(shortfalls int64) {
	rate := a.demand.rate()
	if rate <= 0 {
		a.need = Share{}
		return
	}
	limit := a.layout.limit
	want := rate * headroom * micro
	if shortfalls > 0 {
		want *= headroom
	}
	a.need.Rate = min(int64(want), limit.Rate)
	fraction := 0.0
	if limit.Rate > 0 {
		fraction = float64(a.need.Rate) / float64(limit.Rate)
	}
	capacity := int64(float64(limit.Capacity) * fraction)
	capacity = max(capacity, a.clusterCapacity(rate))
	a.need.Capacity = min(capacity, limit.Capacity)
}

// clusterCapacity is room for the arrivals of one tick and their spread.
func (a *account) clusterCapacity(rate float64) int64 {
	expected := rate * TickInterval.Seconds()
	const deviations = 3
	return int64((1 + expected + deviations*math.Sqrt(expected)) * micro)
}

// keep is what an owner doesn't lend: its own need, or a small reserve for a
// first request.
func (a *account) keep(own Share) Share {
	if a.need.IsZero() {
		return reserve(own)
	}
	return a.need
}

// reserve is a fiftieth of the rate and one request, unless that is a large
// part of what there is.
func reserve(own Share) Share {
	const rateDivisor = 50
	const capacityDivisor = 8
	if own.Capacity < capacityDivisor*micro {
		return Share{}
	}
	return Share{Rate: own.Rate / rateDivisor, Capacity: micro}
}

func (a *account) isExhausted(now time.Duration, lender string) bool {
	until, ok := a.exhausted[lender]
	return ok && now < until
}

func (a *account) exhaust(now time.Duration, lender string) {
	if a.exhausted == nil {
		a.exhausted = make(map[string]time.Duration)
	}
	a.exhausted[lender] = now + exhaustedFor
}

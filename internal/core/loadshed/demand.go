package loadshed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the demand.
	demandTime = 500 * time.Millisecond
	// levels is the number of ranks, two for each priority; less urgent priorities share the
	// last.
	levels = 16
	// maxCustomers bounds the customers of a level that are counted one by one.
	maxCustomers = 64
	// maxLevelFraction leaves some requests of each rank.
	maxLevelFraction = 0.99
)

// demand holds decaying counts of requests by rank and customer.
type demand struct {
	decayedAt time.Time
	level     [levels]levelDemand
	total     float64
}

type levelDemand struct {
	total    float64
	customer map[string]float64
}

func newDemand(now time.Time) demand { return demand{decayedAt: now} }

// levelOf returns the rank of a request.
func levelOf(r *Request) int {
	level := 2 * max(r.Priority, 0)
	if r.Late {
		level++
	}
	return min(level, levels-1)
}

func (d *demand) add(level int, customer string) {
	l := &d.level[level]
	d.total++
	l.total++
	if customer == "" {
		return
	}
	if l.customer == nil {
		l.customer = map[string]float64{}
	}
	if _, known := l.customer[customer]; known || len(l.customer) < maxCustomers {
		l.customer[customer]++
	}
}

// minDemand is the count below which a customer is forgotten.
const minDemand = 0.05

func (d *demand) decay(now time.Time) {
	keep := math.Exp(-now.Sub(d.decayedAt).Seconds() / demandTime.Seconds())
	d.decayedAt = now
	d.total *= keep
	for i := range d.level {
		l := &d.level[i]
		l.total *= keep
		for c, n := range l.customer {
			if n *= keep; n < minDemand {
				delete(l.customer, c)
			} else {
				l.customer[c] = n
			}
		}
	}
}

// lesserShare returns the fraction of the demand that is rejected if the most urgent rank
// isn't touched.
func (d *demand) lesserShare() float64 {
	if d.total <= 0 {
		return 0
	}
	return max(d.total-d.level[d.mostUrgent()].total, 0) * maxLevelFraction / d.total
}

// mostUrgent returns the most urgent rank with demand.
func (d *demand) mostUrgent() int {
	for i := range d.level {
		if d.level[i].total >= minDemand {
			return i
		}
	}
	return levels - 1
}

// fraction returns the fraction of requests with a rank and customer to reject so
// that overall is rejected of all requests: the less urgent ranks first, and of a rank
// the customers with the most requests.
func (d *demand) fraction(overall float64, level int, customer string) float64 {
	excess := overall * d.total
	for i := levels - 1; i > level; i-- {
		excess -= min(excess, maxLevelFraction*d.level[i].total)
	}
	l := &d.level[level]
	if excess < minDemand || l.total <= 0 {
		return 0
	}
	return l.fraction(min(excess/l.total, maxLevelFraction), customer)
}

// fraction divides what the level admits evenly among its customers: those with less
// than an even part are not rejected.
func (l *levelDemand) fraction(overall float64, customer string) float64 {
	own, known := l.customer[customer]
	if !known || len(l.customer) < 2 {
		return overall
	}
	var sum float64
	for _, n := range l.customer {
		sum += n
	}
	limit := l.evenPart((1 - overall) * sum)
	if own <= limit {
		return 0
	}
	return min(1-limit/own, maxLevelFraction)
}

// evenPart returns the limit on each customer with which admitted requests remain in all.
func (l *levelDemand) evenPart(admitted float64) float64 {
	counts := slices.Sorted(maps.Values(l.customer))
	for i, n := range counts {
		part := admitted / float64(len(counts)-i)
		if n >= part {
			return part
		}
		admitted -= n
	}
	return math.Inf(1)
}

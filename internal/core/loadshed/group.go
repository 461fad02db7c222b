package loadshed

import (
	"math"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/placement"
)

const (
	// waitFraction is the part of a kind's latency objective that it may wait for slots.
	// The rest is for the work, pauses of instances and the network.
	waitFraction = 0.15
	// defaultObjective applies to kinds without one.
	defaultObjective = time.Second
	// smoothing is the time constant of the waits.
	smoothing = 200 * time.Millisecond
	// proportionalGain is the rejected fraction for a wait of twice the tolerated one, and
	// integralGain that which is added each second.
	proportionalGain = 0.2
	integralGain     = 1.5
	// maxExcess bounds the excess for the integral.
	maxExcess = 2
	// releaseTime is the time constant with which the integral falls while nothing waits.
	releaseTime = 300 * time.Millisecond
	// maxFraction leaves some requests through which the loads become known.
	maxFraction = 0.98
	// minFraction is the rejected fraction below which nothing is rejected.
	minFraction = 0.05
	// idleExcess is the excess below which nothing waits; -1 is that without a wait, 0 that
	// at the tolerated wait.
	idleExcess = -0.7
	// minKnown is the fraction of usable instances with a recent report below which a
	// service's load isn't known.
	minKnown = 0.5
	// maxScanGap bounds the time for which one reading counts.
	maxScanGap = 50 * time.Millisecond
	// minRecentWeight is the weight of recent reports from which their mean is used.
	minRecentWeight = 4
	// probeInterval is the least time between two requests that run for their reports.
	probeInterval = 40 * time.Millisecond
	// kindTimeout is the time without requests after which a kind no longer counts, and
	// maxKinds the number of kinds of a group that do.
	kindTimeout = 10 * time.Second
	maxKinds    = 32
)

func toleratedWait(objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	return time.Duration(float64(objective) * waitFraction)
}

// group is the state of one group.
type group struct {
	usedAt, scannedAt time.Time
	pressures         []placement.Pressure // of the last reading, by service
	waits             []float64            // smoothed, in seconds, by service
	meanLoad          float64              // of all instances, smoothed like the waits
	sorted            []float64
	order             []int // services by their last loads

	// excess is the largest of the kinds' waits over their tolerated waits, less 1.
	excess   float64
	integral float64
	fraction float64 // of all requests that is rejected

	// isBlind is set while this VM has hardly any recent report, and admittedAt is when it
	// last admitted a request.
	isBlind    bool
	admittedAt time.Time

	kinds  map[string]*kind
	demand demand
}

// kind is the state of the requests of one route.
type kind struct {
	usedAt    time.Time
	minShare  float64
	tolerated float64 // wait in seconds
}

func newGroup(now time.Time) *group {
	return &group{demand: newDemand(now), usedAt: now, scannedAt: now.Add(-scanInterval), kinds: map[string]*kind{}}
}

func (g *group) kind(now time.Time, r *Request) *kind {
	k := g.kinds[r.Kind]
	if k == nil {
		k = &kind{}
		for name, other := range g.kinds {
			if now.Sub(other.usedAt) > kindTimeout {
				delete(g.kinds, name)
			}
		}
		if len(g.kinds) < maxKinds {
			g.kinds[r.Kind] = k
		}
	}
	k.usedAt, k.minShare, k.tolerated = now, r.MinShare, toleratedWait(r.Objective).Seconds()
	return k
}

// read stores a reading of the loads.
func (g *group) read(pressures []placement.Pressure) {
	g.pressures = pressures
	g.sortByLoad()
}

// update applies a reading of the loads to the controller.
func (g *group) update(now time.Time, pressures []placement.Pressure) {
	g.read(pressures)
	dt := min(now.Sub(g.scannedAt), maxScanGap)
	g.scannedAt = now
	g.demand.decay(now)
	if len(g.waits) != len(g.pressures) {
		g.waits = make([]float64, len(g.pressures))
	}
	weight := 1 - math.Exp(-dt.Seconds()/smoothing.Seconds())
	for i := range g.pressures {
		g.waits[i] += weight * (waitOf(&g.pressures[i]) - g.waits[i])
	}
	drift := g.drift(weight)
	g.sorted = append(g.sorted[:0], g.waits...)
	slices.Sort(g.sorted)
	n := len(g.pressures)
	g.excess = -1
	for _, k := range g.kinds {
		if now.Sub(k.usedAt) > kindTimeout {
			continue
		}
		i := needed(k.minShare, n) - 1
		g.excess = max(g.excess, max(g.sorted[i]+drift, 0)/k.tolerated-1)
	}
	g.control(dt)
}

// drift returns how much longer requests wait now than by the smoothed waits, in seconds.
// What changes at all services is known sooner than what changes at one of them, as each
// response adds to it.
func (g *group) drift(weight float64) float64 {
	var sum, weights, work float64
	known := 0
	for i := range g.pressures {
		p := &g.pressures[i]
		sum += p.RecentSum
		weights += p.RecentWeight
		if p.Work > 0 {
			work += p.Work.Seconds()
			known++
		}
	}
	g.isBlind = weights < minRecentWeight
	if known == 0 || g.isBlind {
		return 0
	}
	mean := sum / weights
	if g.meanLoad == 0 {
		g.meanLoad = mean
	}
	g.meanLoad += weight * (mean - g.meanLoad)
	return (mean - g.meanLoad) * work / float64(known)
}

// slowest returns the index of the service with the largest load that a kind needs.
func (g *group) slowest(k *kind) int { return g.order[needed(k.minShare, len(g.order))-1] }

// needed returns how many of n services must answer.
func needed(minShare float64, n int) int {
	return min(max(int(math.Ceil(minShare*float64(n)-1e-9)), 1), n)
}

// shortServices returns the services at which most of the instances are missing, compared
// with the other services, and requests wait for longer than any kind tolerates.
func (g *group) shortServices() []int {
	tolerated, usable := 0.0, 0
	for _, k := range g.kinds {
		tolerated = max(tolerated, k.tolerated)
	}
	if len(g.waits) == 0 || slices.Max(g.waits) <= tolerated {
		return nil
	}
	for i := range g.pressures {
		usable = max(usable, g.pressures[i].Usable)
	}
	var short []int
	for i, wait := range g.waits {
		if wait > tolerated && 2*g.pressures[i].Usable < usable {
			short = append(short, i)
		}
	}
	return short
}

// probes reports whether a request should run so that this VM learns the present loads.
func (g *group) probes(now time.Time) bool {
	return g.isBlind && now.Sub(g.admittedAt) >= probeInterval
}

func (g *group) sortByLoad() {
	g.order = g.order[:0]
	for i := range g.pressures {
		g.order = append(g.order, i)
	}
	slices.SortFunc(g.order, func(a, b int) int {
		switch la, lb := loadOf(&g.pressures[a]), loadOf(&g.pressures[b]); {
		case la < lb:
			return -1
		case la > lb:
			return 1
		}
		return 0
	})
}

// isKnown reports whether enough instances have reported their loads.
func isKnown(p *placement.Pressure) bool {
	return p.Usable > 0 && float64(p.Known) >= minKnown*float64(p.Usable)
}

// loadOf returns the load of a service; 0 if it isn't known.
func loadOf(p *placement.Pressure) float64 {
	if !isKnown(p) {
		return 0
	}
	return p.PerSlot
}

// waitOf returns the wait for a slot of a service in seconds; 0 if it isn't known.
func waitOf(p *placement.Pressure) float64 {
	if !isKnown(p) {
		return 0
	}
	return p.Wait.Seconds()
}

// control sets the rejected fraction.
func (g *group) control(dt time.Duration) {
	g.integral = min(max(g.integral+integralGain*min(g.excess, maxExcess)*dt.Seconds(), 0), maxFraction)
	if g.excess < idleExcess {
		g.integral *= math.Exp(-dt.Seconds() / releaseTime.Seconds())
	}
	g.fraction = min(max(g.integral+proportionalGain*g.excess, 0), maxFraction)
	if g.fraction < minFraction {
		g.fraction = 0
	}
}

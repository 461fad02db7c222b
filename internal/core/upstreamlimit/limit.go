package upstreamlimit

import (
	"math"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
)

// statement is what an upstream stated about its limit at a time.
type statement struct {
	limited   bool
	perSecond float64
	at        time.Duration
}

// limit is the state of one instance that states a limit, or did until lately.
type limit struct {
	newest statement // received by any VM
	own    statement // received by this VM; zero time if none

	offered int // attempts since the last tick
	demand  movingAverage
	// published is the demand as last reported; peers holds that of other VMs.
	published   float64
	peers       map[string]float64
	peersDemand float64 // sum of peers
	// rise is the factor by which this VM's demand rose before the last tick, which other
	// VMs' reports may not show yet; 0 if it didn't.
	rise float64
	// average is that of the fleet's demand; trend is the factor by which the fleet's
	// demand exceeds it, if it rises, and 1 otherwise.
	average movingAverage
	trend   float64
	// credit accumulates the admitted fraction of each attempt. An attempt is admitted
	// for each whole one.
	credit float64
	// notified is the fraction in the last Change.
	notified float64
}

const (
	// riseFactor and riseSlack define when the attempts in an interval exceed the usual
	// number by more than chance: by that factor and riseSlack.
	riseFactor = 1.5
	riseSlack  = 4
	// maxRise bounds the factor, as a VM may have begun to receive requests that others
	// received before.
	maxRise = 8
)

// riseIn returns the factor by which the attempts since the last tick exceed the usual
// number in an interval between ticks, or 0 if they don't.
func (l *limit) riseIn(interval time.Duration) float64 {
	expected := l.published * interval.Seconds()
	if l.demand.weight == 0 || float64(l.offered) <= riseFactor*expected+riseSlack {
		return 0
	}
	return min(float64(l.offered)/max(expected, 1), maxRise)
}

// currentRise returns the factor by which other VMs' demand is taken to have risen since
// their reports.
func (l *limit) currentRise(interval time.Duration) float64 {
	return max(1, l.rise, l.riseIn(interval))
}

// minTrend is the factor above which the fleet's demand rises by more than chance.
const minTrend = 1.2

// updateTrend compares the fleet's demand with its average.
func (l *limit) updateTrend(dt time.Duration, p *Policy) {
	demand := l.published + l.peersDemand
	l.trend = 1
	if usual := l.average.value(); usual > 0 && demand > minTrend*usual {
		l.trend = min(demand/usual, maxRise)
	}
	if dt > 0 {
		l.average.add(demand, dt, p.TrendHalfLife)
	}
}

// sumPeers recomputes peersDemand, without the rounding errors of its updates.
func (l *limit) sumPeers() {
	l.peersDemand = 0
	for _, d := range l.peers {
		l.peersDemand += d
	}
}

func (l *limit) setPeer(address string, demand float64) {
	l.peersDemand += demand - l.peers[address]
	l.peers[address] = demand
}

func (l *limit) removePeer(address string) {
	l.peersDemand -= l.peers[address]
	delete(l.peers, address)
}

// minDemand is the demand, in attempts per second, below which a VM reports none.
const minDemand = 0.05

func (l *limit) measure(dt time.Duration, p *Policy) {
	if dt <= 0 || dt > p.MaxTickGap {
		l.offered, l.demand, l.rise = 0, movingAverage{}, 0
		return
	}
	if l.rise = l.riseIn(dt); l.rise > 0 {
		l.demand = movingAverage{}
	}
	l.demand.add(float64(l.offered)/dt.Seconds(), dt, p.DemandHalfLife)
	l.offered = 0
	l.published = l.demand.value()
	if l.published < minDemand {
		l.published = 0
	}
}

// report returns false if the VM has nothing to report of the instance. A statement that
// a newer one of another VM contradicts isn't reported.
func (l *limit) report(now, retention time.Duration) (fleet.UpstreamLimit, bool) {
	r := fleet.UpstreamLimit{Demand: l.published}
	if l.own.at > 0 && l.own.limited == l.newest.limited && now-l.own.at <= retention {
		r.Stated, r.Limited, r.PerSecond, r.StatedAt = true, l.own.limited, l.own.perSecond, l.own.at
	}
	return r, r.Stated || r.Demand > 0
}

// movingAverage is an exponential moving average that is unbiased from its first sample
// on.
type movingAverage struct{ sum, weight float64 }

func (m *movingAverage) add(sample float64, dt, halfLife time.Duration) {
	retained := math.Exp2(-dt.Seconds() / halfLife.Seconds())
	m.sum = m.sum*retained + sample*(1-retained)
	m.weight = m.weight*retained + 1 - retained
}

func (m *movingAverage) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

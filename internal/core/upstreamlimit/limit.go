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
	// credit accumulates the admitted fraction of each attempt. An attempt is admitted
	// for each whole one.
	credit float64
	// notified is the fraction in the last Change.
	notified float64
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
		l.offered, l.demand = 0, movingAverage{}
		return
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

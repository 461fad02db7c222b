package routing

import (
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

var _ scatter.Picker = (*Router)(nil)

const (
	// pickAttempts bounds the number of choices that Pick makes when other
	// goroutines take the last permit of the chosen upstream.
	pickAttempts = 4
	// farFactor is the ratio of costs above which an upstream of another zone
	// is preferred.
	farFactor = 3
)

// Pick reserves a replica of the shard that isn't listed in tried. It returns
// false when no replica can take a request now or the control view is stale.
func (r *Router) Pick(now time.Time, service string, shard int, tried []string) (scatter.Target, bool) {
	if !r.viewCurrent(now) {
		r.staleRefusals.Add(1)
		return scatter.Target{}, false
	}
	t := r.table.Load()
	svc := t.services[service]
	if svc == nil || shard < 0 || shard >= len(svc.shards) {
		return scatter.Target{}, false
	}
	s := &svc.shards[shard]
	c := selection{at: int64(now.Sub(t.epoch)), tried: tried}
	for range pickAttempts {
		c.beyondGuaranteed = s.state.running.Load() >= s.guaranteedRequests
		u := r.choose(s, &c)
		if u == nil {
			break
		}
		u.endLoanIfDue(now, c.at)
		if u.reserve(c.beyondGuaranteed) {
			return scatter.Target{Upstream: u.id, Address: u.address, Trial: u.cold.Load()}, true
		}
	}
	s.state.refusedAt.Store(c.at)
	return scatter.Target{}, false
}

// selection is the state of one choice of a replica.
type selection struct {
	// at is an offset from the router's epoch in nanoseconds.
	at int64
	// tried lists upstreams that must not be chosen.
	tried []string
	// beyondGuaranteed reports whether the shard's guaranteed concurrency is
	// used up.
	beyondGuaranteed bool
	// near, far and cold each sample two upstreams: warm ones of the own zone,
	// warm ones of other zones, and those on a ramp.
	near, far, cold reservoir
}

// choose prefers a warm upstream of the own zone, unless one of another zone is
// much cheaper. Cold upstreams come last, except for trials that are due.
func (r *Router) choose(s *shardTable, c *selection) *upstream {
	c.near, c.far, c.cold = reservoir{}, reservoir{}, reservoir{}
	if u := r.addCandidates(s.near, c, &c.near); u != nil {
		return u
	}
	if u := r.addCandidates(s.far, c, &c.far); u != nil {
		return u
	}
	near, far := c.near.cheaper(), c.far.cheaper()
	switch {
	case near == nil && far == nil:
		return c.cold.cheaper()
	case near == nil:
		return far
	case far != nil && near.cost() > farFactor*far.cost():
		return far
	}
	return near
}

// addCandidates adds the usable upstreams to their reservoirs. If a trial is
// due, it returns that upstream immediately.
func (r *Router) addCandidates(from []*upstream, c *selection, warm *reservoir) *upstream {
	for _, u := range from {
		if u.isTrialDue(c.at) && len(c.tried) == 0 && u.claimTrial(c.at) {
			return u
		}
		if !u.isUsable(c.at, c.beyondGuaranteed) || slices.Contains(c.tried, u.id) {
			continue
		}
		if u.cold.Load() {
			c.cold.add(r, u)
			continue
		}
		warm.add(r, u)
	}
	return nil
}

// reservoir is a random sample of two of the upstreams added: reservoir
// sampling (Vitter, 1985).
type reservoir struct {
	first, second *upstream
	seen, random  uint64
}

func (d *reservoir) add(r *Router, u *upstream) {
	d.seen++
	switch d.seen {
	case 1:
		d.first = u
		return
	case 2:
		d.second = u
		d.random = mix(r.randomState.Add(1))
		return
	}
	switch d.random % d.seen {
	case 0:
		d.first = u
	case 1:
		d.second = u
	}
	d.random = mix(d.random)
}

// cheaper returns the sampled upstream with the lower cost, or nil if there is
// none. Ties are broken at random.
func (d *reservoir) cheaper() *upstream {
	if d.second == nil {
		return d.first
	}
	first, second := d.first.cost(), d.second.cost()
	if first == second && d.random&1 != 0 || second < first {
		return d.second
	}
	return d.first
}

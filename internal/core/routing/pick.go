package routing

import (
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

var _ scatter.Picker = (*Router)(nil)

const (
	// pickAttempts bounds how often Pick looks again after another goroutine
	// took the last permit of its choice.
	pickAttempts = 4
	// farFactor is how many times cheaper an upstream of another zone must be
	// to be preferred.
	farFactor = 3
)

// Pick reserves a replica of the shard, other than those in tried. It refuses
// when no replica may take a request now or the control view is too old.
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
		c.beyondGuaranteed = s.state.running.Load() >= s.guaranteed
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

// selection is one look for a replica.
type selection struct {
	// at is an offset from the router's epoch in nanoseconds.
	at int64
	// tried lists upstreams that must not be chosen.
	tried []string
	// beyondGuaranteed tells whether the shard already runs what it is assured of.
	beyondGuaranteed bool
	// near, far and cold are draws of two: warm upstreams of the own zone, warm
	// ones of others, and those on a ramp.
	near, far, cold reservoir
}

// choose prefers a warm upstream of the own zone, unless one of another zone is
// much cheaper. Cold ones come last, but for the trials that are due.
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

// addCandidates adds the usable upstreams to their draws. It returns one whose trial
// is due at once.
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

// reservoir holds two upstreams drawn at random out of those added: reservoir
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

// cheaper returns the better of the two, or nil. A tie goes to either.
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

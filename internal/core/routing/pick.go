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
		r.stale.Add(1)
		return scatter.Target{}, false
	}
	t := r.table.Load()
	svc := t.services[service]
	if svc == nil || shard < 0 || shard >= len(svc.shards) {
		return scatter.Target{}, false
	}
	at := int64(now.Sub(t.epoch))
	candidates := &svc.shards[shard]
	for range pickAttempts {
		u := r.choose(candidates, at, tried)
		if u == nil {
			break
		}
		if u.reserve() {
			return scatter.Target{Upstream: u.id, Address: u.address}, true
		}
	}
	return scatter.Target{}, false
}

// choose prefers the own zone unless another zone is much cheaper. A suspected
// upstream whose probe is due gets a first attempt.
func (r *Router) choose(s *shardTable, at int64, tried []string) *upstream {
	if u := dueProbe(s, at, tried); u != nil {
		return u
	}
	near := r.twoChoices(s.near, at, tried)
	far := r.twoChoices(s.far, at, tried)
	if near == nil {
		return far
	}
	if far != nil && near.cost() > farFactor*far.cost() {
		return far
	}
	return near
}

// twoChoices takes the cheaper of two usable upstreams drawn at random.
func (r *Router) twoChoices(from []*upstream, at int64, tried []string) *upstream {
	var first, second *upstream
	seen := uint64(0)
	random := uint64(0)
	for _, u := range from {
		if !u.isUsable(at) || slices.Contains(tried, u.id) {
			continue
		}
		seen++
		switch seen {
		case 1:
			first = u
			continue
		case 2:
			second = u
			random = mix(r.ticket.Add(1))
			continue
		}
		// Reservoir sampling (Vitter, 1985) of two.
		switch random % seen {
		case 0:
			first = u
		case 1:
			second = u
		}
		random = mix(random)
	}
	if second == nil {
		return first
	}
	if random&1 != 0 {
		first, second = second, first
	}
	if second.cost() < first.cost() {
		return second
	}
	return first
}

package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// policy is a replica selection policy with or without hedging.
type policy struct {
	name  string
	hedge bool
	// alwaysDiscover makes every query start without a required snapshot.
	alwaysDiscover bool
	picker         func(*rand.Rand, []catalog.Shard) scatter.Picker
}

func policies() []policy {
	random := func(rng *rand.Rand, layout []catalog.Shard) scatter.Picker {
		return newPicker(rng, layout, 1)
	}
	twoChoices := func(rng *rand.Rand, layout []catalog.Shard) scatter.Picker {
		return newPicker(rng, layout, 2)
	}
	return []policy{
		{name: "random, no hedge", picker: random},
		{name: "two choices, no hedge", picker: twoChoices},
		{name: "random, hedge", hedge: true, picker: random},
		{name: "two choices, hedge", hedge: true, picker: twoChoices},
		{name: "same, any snapshot", hedge: true, alwaysDiscover: true, picker: twoChoices},
	}
}

// latencyWeight is the weight of one sample in a replica's recent latency.
const latencyWeight = 0.2

// picker picks the replica with the lowest score out of several random choices. The
// score combines in-flight requests and recent latency. With one choice the pick is
// random.
type picker struct {
	rng     *rand.Rand
	layout  []catalog.Shard
	choices int
	stats   map[string]*replicaStats
}

type replicaStats struct {
	inFlight      int
	recentLatency float64 // seconds
}

func newPicker(rng *rand.Rand, layout []catalog.Shard, choices int) *picker {
	p := &picker{rng: rng, layout: layout, choices: choices, stats: make(map[string]*replicaStats)}
	for k := range layout {
		for _, u := range layout[k].Replicas {
			p.stats[u.ID] = &replicaStats{recentLatency: fixedServiceTime.Seconds()}
		}
	}
	return p
}

// Pick implements scatter.Picker.
func (p *picker) Pick(_ time.Time, _ string, shard int, tried []string) (scatter.Target, bool) {
	var best string
	remaining := p.choices
	for _, i := range p.rng.Perm(replicasPerShard) {
		id := p.layout[shard].Replicas[i].ID
		if remaining == 0 || slices.Contains(tried, id) {
			continue
		}
		remaining--
		if best == "" || p.score(id) < p.score(best) {
			best = id
		}
	}
	if best == "" {
		return scatter.Target{}, false
	}
	p.stats[best].inFlight++
	return scatter.Target{Upstream: best}, true
}

func (p *picker) score(id string) float64 {
	s := p.stats[id]
	return float64(s.inFlight+1) * s.recentLatency
}

// Done implements scatter.Picker. The latency of a canceled attempt is a lower bound,
// so it counts only if it exceeds the recent latency. Attempts that were rejected for
// lack of the snapshot don't count.
func (p *picker) Done(_ time.Time, _ string, _ int, t scatter.Target, r scatter.Report) {
	s := p.stats[t.Upstream]
	s.inFlight--
	d := r.Latency.Seconds()
	if r.Outcome == scatter.OutcomeSnapshotMissing || r.Outcome == scatter.OutcomeCanceled && d < s.recentLatency {
		return
	}
	s.recentLatency += (d - s.recentLatency) * latencyWeight
}

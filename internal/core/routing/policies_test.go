package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// randomReplica picks any replica and ignores permits.
type randomReplica struct {
	rng     *rand.Rand
	catalog *catalog.Catalog
}

func newRandomReplica(_ *Router, rng *rand.Rand, c *catalog.Catalog) scatter.Picker {
	return &randomReplica{rng: rng, catalog: c}
}

func (p *randomReplica) Pick(_ time.Time, service string, shard int, tried []string) (scatter.Target, bool) {
	replicas := p.catalog.Services[service].Shards[shard].Replicas
	for _, i := range p.rng.Perm(len(replicas)) {
		if !slices.Contains(tried, replicas[i].ID) {
			return scatter.Target{Upstream: replicas[i].ID, Address: replicas[i].Address}, true
		}
	}
	return scatter.Target{}, false
}

func (p *randomReplica) Done(time.Time, string, int, scatter.Target, scatter.Report) {}

// ownedSlots limits a VM to its ranked share of the slots of each upstream.
type ownedSlots struct{ *Router }

func newOwnedSlots(r *Router, _ *rand.Rand, _ *catalog.Catalog) scatter.Picker {
	return ownedSlots{r}
}

func (p ownedSlots) Pick(now time.Time, service string, shard int, tried []string) (scatter.Target, bool) {
	s := &p.table.Load().services[service].shards[shard]
	for _, group := range [][]*upstream{s.near, s.far} {
		for _, u := range group {
			if int(u.gate.running()) >= share(u.shares.slots, u.shares.rank, u.shares.count) {
				tried = append(tried, u.id)
			}
		}
	}
	return p.Router.Pick(now, service, shard, tried)
}

// connectionsOnly lets a VM use all its connections to an upstream, regardless
// of spare capacity.
type connectionsOnly struct{ *Router }

func newConnectionsOnly(r *Router, _ *rand.Rand, _ *catalog.Catalog) scatter.Picker {
	return connectionsOnly{r}
}

func (p connectionsOnly) Pick(now time.Time, service string, shard int, tried []string) (scatter.Target, bool) {
	for i := range p.table.Load().services[service].shards {
		p.table.Load().services[service].shards[i].guaranteedRequests = 1 << 20
	}
	return p.Router.Pick(now, service, shard, tried)
}

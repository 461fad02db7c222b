package routing

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// table is the immutable routing table that traffic goroutines read. The
// upstreams that it points to change under their own locks and atomics.
type table struct {
	epoch    time.Time
	services map[string]*serviceTable
	// upstreams holds every upstream that this VM has a share of or has
	// requests running at.
	upstreams map[string]*upstream
}

type serviceTable struct {
	shards []shardTable
	stats  *serviceStats
}

// shardTable holds the replicas of a shard that this VM has a share of.
type shardTable struct {
	near, far []*upstream
	// domainKey identifies the rules that chose the sharing VMs.
	domainKey string
}

// builder makes a table from the control state.
type builder struct {
	now     time.Time
	catalog *catalog.Catalog
	fleet   *fleet
	domains *domains
	self    sharer
	old     *table
	out     *table
	router  *Router
}

func (b *builder) build() *table {
	for name, svc := range b.catalog.Services {
		b.out.services[name] = b.service(name, svc)
	}
	b.keepRunning()
	return b.out
}

func (b *builder) service(name string, svc *catalog.Service) *serviceTable {
	st := &serviceTable{shards: make([]shardTable, len(svc.Shards))}
	old := b.old.services[name]
	if old != nil {
		st.stats = old.stats
	} else {
		st.stats = &serviceStats{}
	}
	wide := b.domains.isWide(svc)
	for i := range svc.Shards {
		var before *shardTable
		if old != nil && i < len(old.shards) {
			before = &old.shards[i]
		}
		b.shard(svc, st, i, before, wide)
	}
	return st
}

func (b *builder) shard(svc *catalog.Service, st *serviceTable, i int, before *shardTable, wide bool) {
	shard := &svc.Shards[i]
	out := &st.shards[i]
	out.domainKey = fleetWide
	var byZone map[string]domain
	if !wide {
		byZone = b.domains.forShard(b.catalog, shard)
		for _, d := range byZone {
			out.domainKey = d.key
			break
		}
	}
	ruleChanged := before != nil && before.domainKey != out.domainKey
	for j := range shard.Replicas {
		replica := &shard.Replicas[j]
		sharers := b.domains.all
		if !wide {
			sharers = byZone[replica.Zone].sharers
		}
		sh := b.shares(svc, replica, sharers)
		if u := b.upstream(replica, st.stats, sh, ruleChanged); u != nil {
			out.add(u, b.self.zone)
		}
	}
}

func (t *shardTable) add(u *upstream, zone string) {
	if u.zone == zone {
		t.near = append(t.near, u)
		return
	}
	t.far = append(t.far, u)
}

func (b *builder) shares(svc *catalog.Service, u *catalog.Upstream, sharers []sharer) shares {
	sh := shares{
		rank:        -1,
		count:       len(sharers),
		connections: svc.Connections,
		slots:       max(svc.Slots, 1),
		coldPermits: min(max(svc.ColdPermits, 1), max(svc.Slots, 1)),
	}
	for i := range sharers {
		if sharers[i].hash == b.self.hash {
			sh.rank = rankOf(b.self, sharers, hashOf(u.ID), u.Zone)
			return sh
		}
	}
	return sh
}

// upstream updates or adds the state of one upstream. It returns nil when this
// VM has no share of it.
func (b *builder) upstream(replica *catalog.Upstream, stats *serviceStats, sh shares, ruleChanged bool) *upstream {
	u := b.old.upstreams[replica.ID]
	hasShare := sh.ownConnections() > 0
	if u == nil && !hasShare {
		return nil
	}
	isNew := u == nil || u.address != replica.Address || u.zone != replica.Zone
	if isNew {
		u = newUpstream(replica, stats, b.now)
	}
	b.out.upstreams[replica.ID] = u
	b.router.setShares(b.now, u, sh, isNew, ruleChanged, causeOfInactivity(b.catalog, replica))
	if !hasShare {
		return nil
	}
	return u
}

func newUpstream(replica *catalog.Upstream, stats *serviceStats, now time.Time) *upstream {
	u := &upstream{
		id:      replica.ID,
		address: replica.Address,
		zone:    replica.Zone,
		service: stats,
	}
	u.ramp.turnCold(now)
	u.health.lastAnswer = now
	return u
}

// causeOfInactivity says why an upstream gets no work. Empty means that it may.
func causeOfInactivity(c *catalog.Catalog, u *catalog.Upstream) Cause {
	if u.Draining {
		return CauseOperatorUpstream
	}
	if isZoneOut(c, u.Zone) {
		return CauseOperatorZone
	}
	return ""
}

// keepRunning keeps the state of removed upstreams until their requests ended.
func (b *builder) keepRunning() {
	for id, u := range b.old.upstreams {
		kept := b.out.upstreams[id]
		if kept == u {
			continue
		}
		b.router.deactivate(b.now, u, CauseRemoved)
		if kept == nil && u.running.Load() > 0 {
			b.out.upstreams[id] = u
		}
	}
}

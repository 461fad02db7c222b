package routing

import (
	"maps"
	"slices"
	"sort"
	"strconv"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// builder builds a table from the control state. It is used for one rebuild.
type builder struct {
	now        time.Time
	catalog    *catalog.Catalog
	oldCatalog *catalog.Catalog
	domains    *domains
	self       sharer
	// sameMaturity reports whether this VM's maturity is the same as in the old
	// table, and sameZones whether the same zones are out.
	sameMaturity, sameZones bool
	old                     *table
	out                     *table
	router                  *Router
}

func (b *builder) build() *table {
	for _, name := range slices.Sorted(maps.Keys(b.catalog.Services)) {
		b.out.services[name] = b.service(name, b.catalog.Services[name])
	}
	b.keepBusyUpstreams()
	b.out.order()
	return b.out
}

func (b *builder) service(name string, svc *catalog.Service) *serviceTable {
	old := b.old.services[name]
	st := &serviceTable{shards: make([]shardTable, len(svc.Shards))}
	if old != nil {
		st.stats = old.stats
	} else {
		st.stats = &serviceStats{}
	}
	st.stats.deadline.Store(int64(svc.Deadline))
	unchanged := b.sameMaturity && b.sameZones && b.isUnchanged(name, svc)
	for i := range svc.Shards {
		sb := shardBuilder{
			builder:   b,
			unchanged: unchanged,
			svc:       svc,
			shard:     &svc.Shards[i],
			index:     i,
			stats:     st.stats,
			out:       &st.shards[i],
		}
		if old != nil && i < len(old.shards) {
			sb.old = &old.shards[i]
		}
		sb.build(name)
	}
	return st
}

// isUnchanged reports whether the old catalog has the same service in every
// respect that matters for routing.
func (b *builder) isUnchanged(name string, svc *catalog.Service) bool {
	if b.oldCatalog == nil {
		return false
	}
	old := b.oldCatalog.Services[name]
	if old == svc {
		return true
	}
	if old == nil || old.Slots != svc.Slots || old.Connections != svc.Connections {
		return false
	}
	if old.ColdPermits != svc.ColdPermits {
		return false
	}
	return slices.EqualFunc(old.Shards, svc.Shards, func(a, b catalog.Shard) bool {
		return slices.Equal(a.Replicas, b.Replicas)
	})
}

// areZonesEqual reports whether the same zones are out.
func areZonesEqual(a, b *catalog.Catalog) bool {
	if a == nil {
		return false
	}
	return a == b || maps.EqualFunc(a.Zones, b.Zones, func(x, y *catalog.Zone) bool {
		return x.OutOfService == y.OutOfService
	})
}

// keepBusyUpstreams deactivates the upstreams that the new table lacks, and
// keeps their state while requests are still running there.
func (b *builder) keepBusyUpstreams() {
	for _, u := range b.old.ordered {
		id := u.id
		kept := b.out.upstreams[id]
		if kept == u {
			continue
		}
		b.router.deactivate(b.now, u, CauseRemoved)
		if kept == nil && u.gate.running() > 0 {
			b.out.upstreams[id] = u
		}
	}
}

// shardBuilder builds the table of one shard.
type shardBuilder struct {
	*builder
	svc     *catalog.Service
	shard   *catalog.Shard
	index   int
	stats   *serviceStats
	old     *shardTable
	out     *shardTable
	domains *shardDomains
	// unchanged reports that nothing but the VM list can have changed.
	unchanged bool
	// ruleChanged reports that the sharing VMs are selected by a different rule
	// from that of the old table.
	ruleChanged bool
}

func (s *shardBuilder) build(service string) {
	if s.reuseUnchanged() {
		return
	}
	s.out.servingKey = s.builder.domains.servingKey(s.shard)
	s.domains = s.builder.domains.forShard(s.svc, s.out.servingKey)
	s.out.fingerprint = s.domains.fingerprint
	s.out.ruleKey = s.ruleKey()
	if s.old != nil {
		s.out.state = s.old.state
		s.ruleChanged = s.old.ruleKey != s.out.ruleKey
	} else {
		s.out.state = &shardState{service: service, shard: s.index}
	}
	groups := s.groups()
	for _, g := range groups {
		s.group(g)
	}
	s.out.guaranteed = s.guaranteed(groups)
}

// reuseUnchanged copies the old table of the shard if none of its inputs
// changed: in a large fleet most changes of the VM list affect other zones
// only.
func (s *shardBuilder) reuseUnchanged() bool {
	if s.old == nil || !s.unchanged {
		return false
	}
	d := s.builder.domains.forShard(s.svc, s.old.servingKey)
	if d.fingerprint != s.old.fingerprint {
		return false
	}
	*s.out = *s.old
	for _, u := range s.old.tracked {
		s.builder.out.upstreams[u.id] = u
	}
	return true
}

// ruleKey identifies every input of the ranking of the sharing VMs except the
// VM list.
func (s *shardBuilder) ruleKey() string {
	h := uint64(0)
	for i := range s.shard.Replicas {
		u := &s.shard.Replicas[i]
		h = mix(h ^ hashOf(u.ID) ^ mix(hashOf(u.Zone)))
	}
	return s.domains.key + "#" + strconv.FormatUint(h, 36)
}

// replicaGroup holds the replicas of one zone, or of all zones in a small
// fleet, and the VMs that share them.
type replicaGroup struct {
	domain   *domain
	replicas []*catalog.Upstream
}

// groups returns the groups that this VM shares. It deactivates the upstreams
// of all others.
func (s *shardBuilder) groups() []replicaGroup {
	byZone := make(map[string]int)
	var out []replicaGroup
	for i := range s.shard.Replicas {
		u := &s.shard.Replicas[i]
		zone := u.Zone
		if s.domains.fleetWide {
			zone = ""
		}
		at, ok := byZone[zone]
		if !ok {
			at = -1
			if d := s.domains.zone(zone); d.contains(s.self) {
				at = len(out)
				out = append(out, replicaGroup{domain: d})
			}
			byZone[zone] = at
		}
		if at >= 0 {
			out[at].replicas = append(out[at].replicas, u)
			continue
		}
		if old := s.builder.old.upstreams[u.ID]; old != nil {
			s.router.deactivate(s.now, old, CauseVMList)
		}
	}
	for _, g := range out {
		sort.Slice(g.replicas, func(i, j int) bool { return g.replicas[i].ID < g.replicas[j].ID })
	}
	return out
}

// group adds the replicas of one group to the table.
func (s *shardBuilder) group(g replicaGroup) {
	shardHash := hashOf(s.out.state.service) ^ mix(uint64(s.index))
	home := newRing(s.self, g.domain.home, shardHash)
	fallback := newRing(s.self, g.domain.fallback, mix(shardHash))
	for i, replica := range g.replicas {
		at := spacedPosition(i, len(g.replicas))
		sh := s.shares(&home, &fallback, at, replica.Zone)
		if u := s.updateUpstream(replica, sh); u != nil {
			u.setDomain(g.domain, home.topRanked(at, replica.Zone))
			s.out.add(u, s.self.zone)
		}
	}
}

func (s *shardBuilder) shares(home, fallback *ring, at uint64, zone string) shares {
	parts := zoneParts(s.svc.Connections)
	if s.domains.fleetWide {
		parts = fleetWideParts(s.svc.Connections)
	}
	slots := max(s.svc.Slots, 1)
	sh := shares{
		rank:        -1,
		slots:       slots,
		coldPermits: min(max(s.svc.ColdPermits, 1), slots),
	}
	if home.selfIn {
		sh.rank = home.rank(at, zone)
		sh.count = len(home.sharers)
		sh.connections = parts.home
		return sh
	}
	sh.isFallback = true
	sh.rank = fallback.rank(at, zone)
	sh.count = len(fallback.sharers)
	sh.connections = parts.fallback
	return sh
}

// updateUpstream updates or adds the state of one upstream. It returns nil when
// this VM has no share of it.
func (s *shardBuilder) updateUpstream(replica *catalog.Upstream, sh shares) *upstream {
	u := s.builder.old.upstreams[replica.ID]
	hasShare := sh.ownConnections() > 0
	if u == nil && !hasShare {
		return nil
	}
	isNew := u == nil || !u.matches(replica, s.out.state)
	if isNew {
		u = newUpstream(replica, s.stats, s.out.state, s.now)
	}
	s.builder.out.upstreams[replica.ID] = u
	s.out.tracked = append(s.out.tracked, u)
	hold := s.ruleChanged && !s.isNewInCatalog(replica.ID)
	s.router.setShares(s.now, u, sh, isNew, hold, causeOfInactivity(s.catalog, replica))
	if !hasShare {
		return nil
	}
	return u
}

// isNewInCatalog reports whether the old catalog lacks the upstream, so that no
// VM can have had a share of it.
func (s *shardBuilder) isNewInCatalog(id string) bool {
	if s.oldCatalog == nil {
		return true
	}
	svc := s.oldCatalog.Services[s.svc.Name]
	if svc == nil || s.index >= len(svc.Shards) {
		return true
	}
	for i := range svc.Shards[s.index].Replicas {
		if svc.Shards[s.index].Replicas[i].ID == id {
			return false
		}
	}
	return true
}

// guaranteed returns this VM's part of the slots of all active replicas of its
// home group, but at least minGuaranteed. It returns 0 without a home group.
func (s *shardBuilder) guaranteed(groups []replicaGroup) int32 {
	for _, g := range groups {
		if !containsSharer(g.domain.home, s.self) {
			continue
		}
		slots := 0
		for _, u := range g.replicas {
			if causeOfInactivity(s.catalog, u) == "" {
				slots += max(s.svc.Slots, 1)
			}
		}
		return int32(max(slots/len(g.domain.home), minGuaranteed))
	}
	return 0
}

func (d *domain) contains(vm sharer) bool {
	return containsSharer(d.home, vm) || containsSharer(d.fallback, vm)
}

func containsSharer(list []sharer, vm sharer) bool {
	i := sort.Search(len(list), func(i int) bool { return list[i].hash >= vm.hash })
	return i < len(list) && list[i].hash == vm.hash
}

// causeOfInactivity returns the reason why the catalog permits no requests to
// an upstream, or an empty Cause.
func causeOfInactivity(c *catalog.Catalog, u *catalog.Upstream) Cause {
	if u.Draining {
		return CauseOperatorUpstream
	}
	if isZoneOut(c, u.Zone) {
		return CauseOperatorZone
	}
	return ""
}

// minGuaranteed is the minimum number of requests that a VM may run at a shard
// regardless of reported load: one request, and one hedge or a second query.
const minGuaranteed = 2

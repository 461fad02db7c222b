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
	// sameMaturity reports whether this VM's right to use its shares (see
	// fleet.mature) is the same as in the old table, and sameZoneStates whether
	// the same zones exist and the same ones are out of service.
	sameMaturity, sameZoneStates bool
	oldTable                     *table
	newTable                     *table
	router                       *Router
}

func (b *builder) build() *table {
	for _, name := range slices.Sorted(maps.Keys(b.catalog.Services)) {
		b.newTable.services[name] = b.service(name, b.catalog.Services[name])
	}
	b.keepBusyUpstreams()
	b.newTable.order()
	return b.newTable
}

func (b *builder) service(name string, svc *catalog.Service) *serviceTable {
	old := b.oldTable.services[name]
	st := &serviceTable{shards: make([]shardTable, len(svc.Shards))}
	if old != nil {
		st.stats = old.stats
	} else {
		st.stats = &serviceStats{}
	}
	st.stats.deadline.Store(int64(svc.Deadline))
	unchanged := b.sameMaturity && b.sameZoneStates && b.isUnchanged(name, svc)
	for i := range svc.Shards {
		sb := shardBuilder{
			builder:   b,
			unchanged: unchanged,
			svc:       svc,
			shard:     &svc.Shards[i],
			index:     i,
			stats:     st.stats,
			newShard:  &st.shards[i],
		}
		if old != nil && i < len(old.shards) {
			sb.oldShard = &old.shards[i]
		}
		sb.build(name)
	}
	return st
}

// isUnchanged reports whether the old catalog has the same service in every
// respect that the shard tables depend on. The deadline isn't one of them: it
// is stored in the stats, whether the service changed or not. Successive
// catalogs may share an unchanged service, so equal pointers decide at once.
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

// areZoneStatesEqual reports whether both catalogs have the same zones, with
// the same ones out of service.
func areZoneStatesEqual(a, b *catalog.Catalog) bool {
	if a == nil {
		return false
	}
	return a == b || maps.EqualFunc(a.Zones, b.Zones, func(x, y *catalog.Zone) bool {
		return x.OutOfService == y.OutOfService
	})
}

// keepBusyUpstreams deactivates the upstreams that the new table lacks or
// replaces by a new state, for example after a change of address. The state of
// those that it lacks is kept while requests are still running there.
func (b *builder) keepBusyUpstreams() {
	for _, u := range b.oldTable.ordered {
		id := u.id
		inNew := b.newTable.upstreams[id]
		if inNew == u {
			continue
		}
		b.router.deactivate(b.now, u, CauseRemoved)
		if inNew == nil && u.gate.running() > 0 {
			b.newTable.upstreams[id] = u
		}
	}
}

// shardBuilder builds the table of one shard. It embeds the builder of the whole
// table.
type shardBuilder struct {
	*builder
	svc          *catalog.Service
	shard        *catalog.Shard
	index        int
	stats        *serviceStats
	oldShard     *shardTable
	newShard     *shardTable
	shardDomains *shardDomains
	// unchanged reports that nothing but the VM list can have changed.
	unchanged bool
	// rankingInputsChanged reports that an input of the ranking of the sharing
	// VMs other than the VM list differs from the old table's. Other VMs may
	// still use the old ranking, so increases of shares wait for a hold-down.
	rankingInputsChanged bool
}

func (s *shardBuilder) build(service string) {
	if s.reuseUnchanged() {
		return
	}
	s.newShard.servingKey = s.builder.domains.servingKey(s.shard)
	s.shardDomains = s.builder.domains.forShard(s.svc, s.newShard.servingKey)
	s.newShard.fingerprint = s.shardDomains.fingerprint
	s.newShard.rankingKey = s.rankingKey()
	if s.oldShard != nil {
		s.newShard.state = s.oldShard.state
		s.rankingInputsChanged = s.oldShard.rankingKey != s.newShard.rankingKey
	} else {
		s.newShard.state = &shardState{service: service, shard: s.index}
	}
	groups := s.groups()
	for _, g := range groups {
		s.group(g)
	}
	s.newShard.guaranteedRequests = s.guaranteedRequests(groups)
}

// reuseUnchanged copies the old table of the shard if none of its inputs
// changed: in a large fleet most changes of the VM list affect other zones
// only.
func (s *shardBuilder) reuseUnchanged() bool {
	if s.oldShard == nil || !s.unchanged {
		return false
	}
	d := s.builder.domains.forShard(s.svc, s.oldShard.servingKey)
	if d.fingerprint != s.oldShard.fingerprint {
		return false
	}
	*s.newShard = *s.oldShard
	for _, u := range s.oldShard.tracked {
		s.builder.newTable.upstreams[u.id] = u
	}
	return true
}

// rankingKey identifies every input of the ranking of the sharing VMs except the
// VM list: the shard's replicas and how the VMs are divided into domains.
func (s *shardBuilder) rankingKey() string {
	h := uint64(0)
	for i := range s.shard.Replicas {
		u := &s.shard.Replicas[i]
		h = mix(h ^ hashOf(u.ID) ^ mix(hashOf(u.Zone)))
	}
	return s.shardDomains.key + "#" + strconv.FormatUint(h, 36)
}

// replicaGroup holds the replicas of one zone, or of all zones in a small
// fleet, and the VMs that share them.
type replicaGroup struct {
	domain   *domain
	replicas []*catalog.Upstream
}

// groups returns the groups that this VM shares. It deactivates the upstreams
// of all others. The cause in the audit is CauseVMList, also if this VM's home
// or fallback zone changed because the catalog changed the serving zones.
func (s *shardBuilder) groups() []replicaGroup {
	byZone := make(map[string]int)
	var out []replicaGroup
	for i := range s.shard.Replicas {
		u := &s.shard.Replicas[i]
		zone := u.Zone
		if s.shardDomains.fleetWide {
			zone = ""
		}
		at, ok := byZone[zone]
		if !ok {
			at = -1
			if d := s.shardDomains.zone(zone); d.contains(s.self) {
				at = len(out)
				out = append(out, replicaGroup{domain: d})
			}
			byZone[zone] = at
		}
		if at >= 0 {
			out[at].replicas = append(out[at].replicas, u)
			continue
		}
		if old := s.builder.oldTable.upstreams[u.ID]; old != nil {
			s.router.deactivate(s.now, old, CauseVMList)
		}
	}
	for _, g := range out {
		sort.Slice(g.replicas, func(i, j int) bool { return g.replicas[i].ID < g.replicas[j].ID })
	}
	return out
}

// group adds the replicas of one group to the table. The rings of the home VMs
// and the fallback VMs use different hashes, so a VM's positions on the two are
// independent.
func (s *shardBuilder) group(g replicaGroup) {
	shardHash := hashOf(s.newShard.state.service) ^ mix(uint64(s.index))
	home := newRing(s.self, g.domain.home, shardHash)
	fallback := newRing(s.self, g.domain.fallback, mix(shardHash))
	for i, replica := range g.replicas {
		at := spacedPosition(i, len(g.replicas))
		sh := s.shares(&home, &fallback, at, replica.Zone)
		if u := s.updateUpstream(replica, sh); u != nil {
			u.setDomain(g.domain, home.topRanked(at, replica.Zone))
			s.newShard.add(u, s.self.zone)
		}
	}
}

func (s *shardBuilder) shares(home, fallback *ring, at uint64, zone string) shares {
	parts := zoneParts(s.svc.Connections)
	if s.shardDomains.fleetWide {
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
	u := s.builder.oldTable.upstreams[replica.ID]
	hasShare := sh.ownConnections() > 0
	if u == nil && !hasShare {
		return nil
	}
	isNew := u == nil || !u.matches(replica, s.newShard.state)
	if isNew {
		u = newUpstream(replica, s.stats, s.newShard.state, s.now)
	}
	s.builder.newTable.upstreams[replica.ID] = u
	s.newShard.tracked = append(s.newShard.tracked, u)
	delayGrowth := s.rankingInputsChanged && !s.isNewInCatalog(replica.ID)
	s.router.setShares(s.now, u, sh, isNew, delayGrowth, causeOfInactivity(s.catalog, replica))
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

// guaranteedRequests returns this VM's part of the slots of all active replicas
// of its home group, but at least minGuaranteed. It returns 0 without a home
// group.
func (s *shardBuilder) guaranteedRequests(groups []replicaGroup) int32 {
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

// minGuaranteed is the minimum of guaranteedRequests for a VM that has a home
// group: one request, and one hedge or a request of a second query.
const minGuaranteed = 2

package routing

import (
	"sort"
	"strings"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// domain is the set of VMs that share the upstreams of a shard in one zone, or
// in all zones if the fleet is small.
type domain struct {
	// home holds the VMs whose home zone this is: they normally send requests
	// here. fallback holds the VMs whose fallback zone this is: they may only
	// use spare capacity here.
	home, fallback []sharer
	// fingerprint is a hash of both lists.
	fingerprint uint64
}

func (d *domain) setFingerprint() {
	for i := range d.home {
		d.fingerprint = mix(d.fingerprint ^ d.home[i].hash)
	}
	d.fingerprint = mix(d.fingerprint)
	for i := range d.fallback {
		d.fingerprint = mix(d.fingerprint ^ d.fallback[i].hash)
	}
}

// shardDomains holds the domains of one shard by zone.
type shardDomains struct {
	// key is "*" if fleetWide is set, and otherwise the serving key.
	key       string
	fleetWide bool
	all       domain
	byZone    map[string]*domain
	// fingerprint is a hash of the VMs in the domains that include self.
	fingerprint uint64
}

func (s *shardDomains) zone(zone string) *domain {
	if s.fleetWide {
		return &s.all
	}
	if d := s.byZone[zone]; d != nil {
		return d
	}
	return &domain{}
}

// domains computes which VMs share which upstreams.
//
// A small fleet shares every upstream among all VMs. In a fleet with too many
// VMs for that, the VMs of a zone share the zone's upstreams. A VM whose zone
// can't serve a shard gets another serving zone as its home zone, chosen by
// rendezvous hashing. Each VM also has one fallback zone.
type domains struct {
	self         sharer
	all          []sharer
	fleetWide    *shardDomains
	byServingKey map[string]*shardDomains // key: serving zones
	catalog      *catalog.Catalog
}

func newDomains(self sharer, f *fleet, c *catalog.Catalog) *domains {
	d := &domains{self: self, byServingKey: make(map[string]*shardDomains), catalog: c}
	for id, m := range f.members {
		d.all = append(d.all, sharer{id: id, zone: m.vm.Zone, hash: m.hash})
	}
	sort.Slice(d.all, func(i, j int) bool { return d.all[i].hash < d.all[j].hash })
	d.fleetWide = &shardDomains{key: "*", fleetWide: true, all: domain{home: d.all}}
	d.fleetWide.all.setFingerprint()
	d.fleetWide.fingerprint = d.fleetWide.all.fingerprint
	return d
}

// isFleetWide reports whether all VMs share the upstreams of the service.
func (d *domains) isFleetWide(svc *catalog.Service) bool {
	return len(d.all)*minFleetWideConnections <= fleetWideParts(svc.Connections).home
}

const zoneSeparator = "\x00"

// servingKey returns a key made of the zones that can serve a shard.
func (d *domains) servingKey(shard *catalog.Shard) string {
	return strings.Join(servingZones(d.catalog, shard), zoneSeparator)
}

// forShard returns the domains of a shard that is served by the zones of the
// key.
func (d *domains) forShard(svc *catalog.Service, servingKey string) *shardDomains {
	if d.isFleetWide(svc) {
		return d.fleetWide
	}
	s := d.byServingKey[servingKey]
	if s == nil {
		s = d.partitionByZone(servingKey)
		d.byServingKey[servingKey] = s
	}
	return s
}

func (d *domains) partitionByZone(key string) *shardDomains {
	s := &shardDomains{key: key, byZone: make(map[string]*domain)}
	if key == "" {
		return s
	}
	serving := strings.Split(key, zoneSeparator)
	hashes := make([]uint64, len(serving))
	for i, zone := range serving {
		hashes[i] = hashOf(zone)
		s.byZone[zone] = &domain{}
	}
	for _, vm := range d.all {
		home, fallback := homeZones(vm, serving, hashes)
		if home != "" {
			s.byZone[home].home = append(s.byZone[home].home, vm)
		}
		if fallback != "" {
			s.byZone[fallback].fallback = append(s.byZone[fallback].fallback, vm)
		}
	}
	home, fallback := homeZones(d.self, serving, hashes)
	for _, zone := range [2]string{home, fallback} {
		if dom := s.byZone[zone]; dom != nil {
			dom.setFingerprint()
			s.fingerprint = mix(s.fingerprint ^ dom.fingerprint)
		}
	}
	return s
}

// homeZones returns the VM's home zone and its fallback zone: its own zone
// first, if it is serving, then the zones by descending weight.
func homeZones(vm sharer, serving []string, hashes []uint64) (home, fallback string) {
	var homeWeight, fallbackWeight uint64
	for i, zone := range serving {
		w := weight(vm.hash, hashes[i])
		if zone == vm.zone {
			w = ^uint64(0)
		}
		switch {
		case home == "" || w > homeWeight:
			fallback, fallbackWeight = home, homeWeight
			home, homeWeight = zone, w
		case fallback == "" || w > fallbackWeight:
			fallback, fallbackWeight = zone, w
		}
	}
	return home, fallback
}

// servingZones returns the zones with a replica that may get requests, sorted.
func servingZones(c *catalog.Catalog, shard *catalog.Shard) []string {
	var zones []string
	last := ""
	for i := range shard.Replicas {
		u := &shard.Replicas[i]
		if u.Zone == last || u.Draining || isZoneOut(c, u.Zone) {
			continue
		}
		last = u.Zone
		at := sort.SearchStrings(zones, u.Zone)
		if at < len(zones) && zones[at] == u.Zone {
			continue
		}
		zones = append(zones, "")
		copy(zones[at+1:], zones[at:])
		zones[at] = u.Zone
	}
	return zones
}

func isZoneOut(c *catalog.Catalog, zone string) bool {
	z := c.Zones[zone]
	return z != nil && z.OutOfService
}

package routing

import (
	"sort"
	"strings"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// domain is the set of VMs that share an upstream.
type domain struct {
	// key identifies the rule by which the VMs were chosen.
	key     string
	sharers []sharer
}

// fleetWide is the key of the domain that holds every VM.
const fleetWide = "*"

// minWideConnections is the share of connections that every VM must have at
// least for all VMs to share an upstream.
const minWideConnections = 2

// domains works out which VMs share which upstreams.
//
// A small fleet shares every upstream among all VMs. In a fleet with too many
// VMs for that, the VMs of a zone share the zone's upstreams; a VM whose zone
// cannot serve a shard joins another zone that can, by rendezvous.
type domains struct {
	all   []sharer
	zones map[string]map[string]domain // serving zones -> zone -> domain
}

func newDomains(f *fleet) *domains {
	d := &domains{zones: make(map[string]map[string]domain)}
	for _, m := range f.members {
		d.all = append(d.all, sharer{hash: m.hash, zone: m.vm.Zone})
	}
	sort.Slice(d.all, func(i, j int) bool { return d.all[i].hash < d.all[j].hash })
	return d
}

// isWide reports whether all VMs share the upstreams of the service.
func (d *domains) isWide(svc *catalog.Service) bool {
	return len(d.all)*minWideConnections <= sharedConnections(svc.Connections)
}

// forShard returns the domain of each zone for one shard.
func (d *domains) forShard(c *catalog.Catalog, shard *catalog.Shard) map[string]domain {
	serving := servingZones(c, shard)
	key := strings.Join(serving, "\x00")
	byZone, ok := d.zones[key]
	if !ok {
		byZone = d.split(serving, key)
		d.zones[key] = byZone
	}
	return byZone
}

func (d *domains) split(serving []string, key string) map[string]domain {
	byZone := make(map[string]domain, len(serving))
	hashes := make([]uint64, len(serving))
	for i, zone := range serving {
		hashes[i] = hashOf(zone)
		byZone[zone] = domain{key: key}
	}
	for _, vm := range d.all {
		zone := homeZone(vm, serving, hashes)
		dom := byZone[zone]
		dom.sharers = append(dom.sharers, vm)
		byZone[zone] = dom
	}
	return byZone
}

// homeZone returns the VM's own zone if it serves, and else the serving zone
// with the highest weight.
func homeZone(vm sharer, serving []string, hashes []uint64) string {
	best, bestWeight := "", uint64(0)
	for i, zone := range serving {
		if zone == vm.zone {
			return zone
		}
		if w := weight(vm.hash, hashes[i]); best == "" || w > bestWeight {
			best, bestWeight = zone, w
		}
	}
	return best
}

// servingZones lists the zones with a replica that may get work, in order.
func servingZones(c *catalog.Catalog, shard *catalog.Shard) []string {
	var zones []string
	for i := range shard.Replicas {
		u := &shard.Replicas[i]
		if u.Draining || isZoneOut(c, u.Zone) {
			continue
		}
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
	return z != nil && z.Out
}

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is a peer to exchange with.
type Target struct {
	Address    string
	RelayScope RelayScope
}

// Targets returns the peers to call in this tick. In a small fleet one VM of
// each pair calls the other. In a large one each zone has a few relays: every
// second tick the VMs of the zone call one of them, and the relays call each
// other and their counterparts in other zones.
func (t *Table) Targets(now time.Duration) []Target {
	t.ticks++
	var out []Target
	switch {
	case !t.isLarge():
		for _, addr := range t.meshTargets() {
			out = append(out, Target{Address: addr})
		}
	case t.ticks%2 == 0:
		out = t.relayTargets(now)
	}
	if t.seedIsDue(now) {
		seed := t.seeds[(t.ticks/t.policy.SeedIntervalTicks+t.ticks)%len(t.seeds)]
		if seed != t.self.Address {
			out = append(out, Target{Address: seed, RelayScope: RelayAll})
		}
	}
	return out
}

// seedIsDue reports whether to call a seed in this tick. Regular calls let parts of a
// fleet find each other that don't know of one another. In a large fleet only relays
// make them, as the exchange with all other VMs would occupy a seed.
func (t *Table) seedIsDue(now time.Duration) bool {
	switch {
	case len(t.seeds) == 0:
		return false
	case len(t.members) == 0 || t.ticks <= startupSeedTicks:
		return true
	case t.ticks%t.policy.SeedIntervalTicks != 0:
		return false
	}
	return !t.isLarge() || slices.Contains(t.relays(t.self.Zone, now), t.self.Address)
}

// startupSeedTicks is the number of ticks after its start in which a VM calls a
// seed even if other VMs have called it, as those report only themselves.
const startupSeedTicks = 4

// storeReaderZones is the number of zones in which one relay reads the metadata store.
const storeReaderZones = 2

// Readers returns the VMs from which this one reads the metadata, in order of
// preference. It is empty for a VM that reads the metadata store itself: every VM of a
// small fleet, and in a large one a relay in each of the first zones. The other relays
// read from those, and the other VMs from the relays of their zone, so that the number
// of the store's readers doesn't grow with the fleet. relay reports whether other VMs
// read from this one.
func (t *Table) Readers(now time.Duration) (readers []string, relay bool) {
	if !t.isLarge() {
		return nil, false
	}
	relays := t.relays(t.self.Zone, now)
	if !slices.Contains(relays, t.self.Address) {
		if n := len(relays); n > 0 { // distribute the VMs over the relays
			first := t.RelayIndex() % n
			relays = append(relays[first:n:n], relays[:first]...)
		}
		return relays, false
	}
	zones := append(t.zones(), t.self.Zone)
	slices.Sort(zones)
	for _, zone := range zones[:min(storeReaderZones, len(zones))] {
		if r := t.relays(zone, now); len(r) > 0 {
			readers = append(readers, r[0])
		}
	}
	if slices.Contains(readers, t.self.Address) {
		return nil, true
	}
	return readers, true
}

// relays returns the VMs of a zone with the most processor time that are not
// suspected. Other VMs may choose differently for a while; reports then take one more
// step.
func (t *Table) relays(zone string, now time.Duration) []string {
	var out []Report
	if zone == t.self.Zone {
		out = append(out, t.self)
	}
	for addr, m := range t.members {
		if t.isSuspect(addr, now) {
			continue
		}
		if m.report.Zone == zone && !m.report.Leaving {
			out = append(out, m.report)
		}
	}
	return mostCPU(out, t.policy.RelaysPerZone)
}

// mostCPU returns the addresses of the n VMs with the most processor time.
func mostCPU(reports []Report, n int) []string {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Address, b.Address))
	})
	var out []string
	for _, r := range reports[:min(n, len(reports))] {
		out = append(out, r.Address)
	}
	return out
}

// FallbackPeer returns the next VM that is neither leaving nor suspected, in
// round-robin order, or "" if there is none.
func (t *Table) FallbackPeer(now time.Duration) string {
	var out []string
	for addr, m := range t.members {
		if !m.report.Leaving && !t.isSuspect(addr, now) {
			out = append(out, addr)
		}
	}
	if len(out) == 0 {
		return ""
	}
	slices.Sort(out)
	t.fallbackCalls++
	return out[t.fallbackCalls%len(out)]
}

// isSuspect reports whether the last call to a VM failed within SuspectPeriod.
func (t *Table) isSuspect(addr string, now time.Duration) bool {
	failed, ok := t.failedAt[addr]
	return ok && now-failed <= t.policy.SuspectPeriod
}

func (t *Table) relayTargets(now time.Duration) []Target {
	own := t.relays(t.self.Zone, now)
	rank := slices.Index(own, t.self.Address)
	if rank < 0 {
		if len(own) == 0 {
			return nil
		}
		return []Target{{Address: own[t.RelayIndex()%len(own)], RelayScope: RelayAll}}
	}
	var out []Target
	for i, addr := range own {
		if i != rank { // both call, so that each notices when the other fails
			out = append(out, Target{Address: addr, RelayScope: RelayAll})
		}
	}
	for _, zone := range t.zones() {
		// One zone of a pair calls. The other one calls, too, if it receives no
		// reports: the first may not have discovered it yet.
		if zone < t.self.Zone && now-t.newestReport(zone) <= t.policy.ZoneSilenceTimeout {
			continue
		}
		if other := t.relays(zone, now); len(other) > 0 {
			out = append(out, Target{Address: other[rank%len(other)], RelayScope: RelayZone})
		}
	}
	return out
}

// RelayIndex returns the hash by which the VMs of a zone are spread over its
// relays.
func (t *Table) RelayIndex() int {
	return int(xxhash.Sum64String(t.self.Address) % uint64(t.policy.RelaysPerZone))
}

// newestReport returns the time of the latest report of a zone.
func (t *Table) newestReport(zone string) time.Duration {
	var at time.Duration
	for _, m := range t.members {
		if m.report.Zone == zone {
			at = max(at, m.report.At)
		}
	}
	return at
}

// zones returns the other zones that have members.
func (t *Table) zones() []string {
	var out []string
	for _, m := range t.members {
		if m.report.Zone != t.self.Zone && !slices.Contains(out, m.report.Zone) {
			out = append(out, m.report.Zone)
		}
	}
	slices.Sort(out)
	return out
}

// meshTargets returns the peers of a tick in a small fleet: half of the ring,
// and those that may not have discovered this VM yet.
func (t *Table) meshTargets() []string {
	out := t.ringNeighbors()
	for addr, m := range t.members {
		if !m.exchanged && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// ringNeighbors returns the half of the ring of VMs that follows this one.
func (t *Table) ringNeighbors() []string {
	ring := []string{t.self.Address}
	for addr := range t.members {
		ring = append(ring, addr)
	}
	slices.Sort(ring)
	self, _ := slices.BinarySearch(ring, t.self.Address)
	n := len(ring)
	var out []string
	for i := 1; 2*i <= n; i++ {
		if 2*i == n && self >= n/2 { // the opposite VM calls
			break
		}
		out = append(out, ring[(self+i)%n])
	}
	return out
}

package dissemination

import (
	"cmp"
	"slices"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// readersPerZone is the number of daemons in a zone that read the platform. It
	// is more than one so that one may fail before the list shows it.
	readersPerZone = 2
	// linksPerZone is the number of daemons in a zone that exchange with another
	// zone.
	linksPerZone = 2
)

// topology is the gossip overlay and the readers that one daemon derives from a
// VM list. It is immutable.
//
// Within a zone the daemons form a ring in the order of their hashes. Each
// exchanges with those 1, 2, 4, 8, ... positions after it (Stoica et al., "Chord",
// 2001), so that an update reaches all n daemons of a zone in log2(n) steps while
// each has log2(n) neighbours. Each pair of zones has linksPerZone links, whose
// ends are selected by rendezvous hashing for that pair.
type topology struct {
	// neighbours are the daemons that regular exchanges go to.
	neighbours []membership.VM
	// ownZone and otherZones are the daemons in this daemon's zone, without itself,
	// and in the other zones.
	ownZone, otherZones []membership.VM
	// readers are the ids of the zone's readers in the order of rendezvous hashing.
	readers []string
	byID    map[string]membership.VM
}

func newTopology(self membership.VM, list *membership.List) topology {
	t := topology{byID: make(map[string]membership.VM, len(list.VMs))}
	zones := map[string][]membership.VM{}
	selfListed := false
	for _, vm := range list.VMs {
		if vm.ID == self.ID {
			selfListed = !vm.Leaving
			continue
		}
		t.byID[vm.ID] = vm
		if vm.Leaving {
			continue
		}
		zones[vm.Zone] = append(zones[vm.Zone], vm)
		if vm.Zone == self.Zone {
			t.ownZone = append(t.ownZone, vm)
		} else {
			t.otherZones = append(t.otherZones, vm)
		}
	}
	ownMembers := append(slices.Clone(t.ownZone), self)
	t.neighbours = ringNeighbours(self, ownMembers)
	for zone, vms := range zones {
		if zone != self.Zone {
			t.neighbours = append(t.neighbours, linksTo(self, ownMembers, zone, vms)...)
		}
	}
	sortByID(t.neighbours)
	t.readers = chooseReaders(self, t.ownZone, selfListed)
	return t
}

// chooseReaders returns the ids of the zone's readers. Daemons that are not in the
// list or are leaving are not eligible.
func chooseReaders(self membership.VM, zone []membership.VM, selfListed bool) []string {
	candidates := slices.Clone(zone)
	if selfListed {
		candidates = append(candidates, self)
	}
	var out []string
	for _, vm := range membership.RendezvousN("reader/"+self.Zone, candidates, readersPerZone) {
		out = append(out, vm.ID)
	}
	return out
}

func (t *topology) isReader(id string) bool { return slices.Contains(t.readers, id) }

func sortByID(vms []membership.VM) {
	slices.SortFunc(vms, func(a, b membership.VM) int { return cmp.Compare(a.ID, b.ID) })
}

// ringNeighbours returns the members 1, 2, 4, ... positions after self on the
// ring.
func ringNeighbours(self membership.VM, members []membership.VM) []membership.VM {
	ring := membership.RendezvousN("ring/"+self.Zone, members, len(members))
	at := slices.IndexFunc(ring, func(vm membership.VM) bool { return vm.ID == self.ID })
	var out []membership.VM
	for step := 1; step < len(ring); step *= 2 {
		out = append(out, ring[(at+step)%len(ring)])
	}
	return out
}

// linksTo returns the daemons of another zone that self has a link to.
func linksTo(self membership.VM, ownMembers []membership.VM, zone string, remoteMembers []membership.VM) []membership.VM {
	key := "link/" + min(self.Zone, zone) + "/" + max(self.Zone, zone)
	localEnds := membership.RendezvousN(key, ownMembers, linksPerZone)
	remoteEnds := membership.RendezvousN(key, remoteMembers, linksPerZone)
	at := slices.IndexFunc(localEnds, func(vm membership.VM) bool { return vm.ID == self.ID })
	if at < 0 {
		return nil
	}
	if at < len(remoteEnds) {
		return remoteEnds[at : at+1]
	}
	return remoteEnds[:min(1, len(remoteEnds))]
}

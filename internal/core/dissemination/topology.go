package dissemination

import (
	"cmp"
	"slices"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// readersPerZone is how many daemons of a zone read the platform, so that
	// one may be lost before the list shows it.
	readersPerZone = 2
	// linksPerZone is how many daemons of a zone exchange with another zone.
	linksPerZone = 2
)

// topology is what follows from one VM list for one daemon. It is immutable.
//
// Within a zone the daemons stand on a ring in the order of their hashes, and
// each exchanges with those 1, 2, 4, 8, ... places on (Stoica et al., "Chord",
// 2001), so that news crosses a zone of n daemons in log2(n) steps while each
// keeps log2(n) neighbours. Between each two zones there are linksPerZone
// links, whose ends are chosen by rendezvous hashing for that pair of zones.
type topology struct {
	// neighbours are the daemons to exchange with regularly.
	neighbours []membership.VM
	// ownZone and otherZones are the daemons of the own zone and of the other zones,
	// without the daemon itself.
	ownZone, otherZones []membership.VM
	// readers are the ids of the zone's readers, the first by rendezvous first.
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

// chooseReaders leaves out a daemon that the list doesn't hold or that leaves.
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

// ringNeighbours returns the members that stand 1, 2, 4, ... places after self.
func ringNeighbours(self membership.VM, members []membership.VM) []membership.VM {
	ring := membership.RendezvousN("ring/"+self.Zone, members, len(members))
	at := slices.IndexFunc(ring, func(vm membership.VM) bool { return vm.ID == self.ID })
	var out []membership.VM
	for step := 1; step < len(ring); step *= 2 {
		out = append(out, ring[(at+step)%len(ring)])
	}
	return out
}

// linksTo returns the daemons of another zone that self is linked with.
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

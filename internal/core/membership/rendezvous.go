package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the VM with the highest weight for the key, by
// highest-random-weight hashing (Thaler and Ravishankar, 1998). It returns
// false when vms is empty. The order of vms doesn't matter.
func Rendezvous(key string, vms []VM) (VM, bool) {
	var best VM
	var bestWeight uint64
	for i, vm := range vms {
		w := weight(key, vm.ID)
		if i == 0 || hasHigherWeight(w, vm.ID, bestWeight, best.ID) {
			best, bestWeight = vm, w
		}
	}
	return best, len(vms) > 0
}

// RendezvousN returns up to n VMs for the key in descending order of weight.
// When one VM leaves the list, the order of the others doesn't change.
func RendezvousN(key string, vms []VM, n int) []VM {
	type weighted struct {
		vm     VM
		weight uint64
	}
	all := make([]weighted, len(vms))
	for i, vm := range vms {
		all[i] = weighted{vm: vm, weight: weight(key, vm.ID)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if hasHigherWeight(a.weight, a.vm.ID, b.weight, b.vm.ID) {
			return -1
		}
		return 1
	})
	out := make([]VM, 0, min(n, len(all)))
	for _, w := range all[:min(n, len(all))] {
		out = append(out, w.vm)
	}
	return out
}

// InZone returns the VMs of one availability zone, in the order given.
func InZone(vms []VM, zone string) []VM {
	var out []VM
	for _, vm := range vms {
		if vm.Zone == zone {
			out = append(out, vm)
		}
	}
	return out
}

// Without returns the VMs other than the one with the given ID.
func Without(vms []VM, id string) []VM {
	var out []VM
	for _, vm := range vms {
		if vm.ID != id {
			out = append(out, vm)
		}
	}
	return out
}

func weight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// hasHigherWeight compares by weight and breaks ties by ID, so that all VMs
// agree.
func hasHigherWeight(w uint64, id string, than uint64, thanID string) bool {
	if w != than {
		return w > than
	}
	return strings.Compare(id, thanID) < 0
}

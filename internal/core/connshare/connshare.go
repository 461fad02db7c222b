// Package connshare divides the connections that an upstream accepts from all VMs
// together. `ryecourse gateway` uses it.
//
// It answers the load of a fleet that has more VMs than an upstream accepts connections.
// Each VM computes the division from the members that it knows anyway; nothing is agreed
// on. VMs that have learned of different members divide differently for a while, which is
// what the unused part of the connections is for.
//
// A query over shards is mostly run by executors, so they have a share of each replica.
// The other VMs run a query themselves if no executor accepts it; each of them has a share
// of one or more replicas of each shard. A service without shards is called by each VM
// for itself. The package has no I/O.
package connshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// usedFraction is the fraction of an upstream's connections that are divided. The
	// rest is for VMs that are added or restarted, for extra attempts to instances of which
	// a VM has no share, and for VMs that know different members.
	usedFraction = 0.8
	// executorsFraction is the fraction of the connections that the executors share, if
	// the other VMs need no more than the rest.
	executorsFraction = 0.6
	// minExecutorShare is the share of an executor if there are enough connections: one
	// is in use while the next query begins.
	minExecutorShare = 2
)

// Fleet is the fleet as one VM knows it.
type Fleet struct {
	// Self and Zone are this VM's address and zone.
	Self, Zone string
	// VMs is the number of VMs to divide by. It may exceed the sum of ByZone, the known VMs
	// of each zone with this one.
	VMs    int
	ByZone map[string]int
	// Executors is 0 if each VM runs its own queries.
	Executors  int
	IsExecutor bool
	// Rank is this VM's position in an order that is the same on all VMs.
	Rank int
}

// Replica is an instance of an upstream.
type Replica struct{ ID, Zone string }

// Shares returns how many connections this VM may open to each replica of a service, by
// ID. Replicas of which it has no share are absent. limit is the number of connections
// that a replica accepts; 0 if it isn't known.
func (f *Fleet) Shares(replicas []Replica, limit int, isShard bool) map[string]int {
	if limit <= 0 {
		return equalShares(replicas, 1)
	}
	usable := float64(limit) * usedFraction
	vms := max(f.VMs, 1)
	if !isShard || f.Executors == 0 {
		return f.divide(replicas, usable, vms)
	}
	others := max(vms-f.Executors, 1)
	share := executorShare(usable, others, f.Executors, len(replicas))
	if f.IsExecutor {
		return equalShares(replicas, share)
	}
	// One more executor may be chosen before the others know of it.
	return f.divide(replicas, usable-float64((f.Executors+1)*share), others)
}

// executorShare returns the connections of an executor to each replica: as many as leave
// each other VM a share of one replica.
func executorShare(usable float64, others, executors, replicas int) int {
	if replicas == 0 {
		return 0
	}
	most := int(usable * executorsFraction / float64(executors+1))
	left := int((usable - float64(others)/float64(replicas)) / float64(executors+1))
	return max(min(left, most), min(minExecutorShare, most), 1)
}

// divide divides connections equally among VMs. If there are fewer than VMs, each VM has
// one connection to some of the replicas.
func (f *Fleet) divide(replicas []Replica, connections float64, vms int) map[string]int {
	if len(replicas) == 0 {
		return nil
	}
	if each := int(connections / float64(vms)); each >= 1 {
		return equalShares(replicas, each)
	}
	n := min(int(connections)*len(replicas)/vms, len(replicas))
	switch {
	case n > 0 && f.largestDemand(replicas, n, vms) <= connections:
		return equalShares(f.order(replicas, true)[:n], 1)
	case n > 0: // there would be too many VMs in one zone
		return equalShares(f.order(replicas, false)[:n], 1)
	case f.Rank >= int(connections)*len(replicas):
		return nil
	}
	// The same VMs have a share of all shards, so that they can run whole queries.
	ordered := slices.Clone(replicas)
	slices.SortFunc(ordered, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	i := f.Rank % len(ordered)
	return equalShares(ordered[i:i+1], 1)
}

func equalShares(replicas []Replica, n int) map[string]int {
	out := make(map[string]int, len(replicas))
	for _, r := range replicas {
		out[r.ID] = n
	}
	return out
}

// order returns the replicas in an order that differs between VMs and stays when VMs come
// and go. With nearFirst, those of the VM's zone come first.
func (f *Fleet) order(replicas []Replica, nearFirst bool) []Replica {
	out := slices.Clone(replicas)
	slices.SortFunc(out, func(a, b Replica) int {
		if aNear, bNear := a.Zone == f.Zone, b.Zone == f.Zone; nearFirst && aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(f.hash(a), f.hash(b))
	})
	return out
}

func (f *Fleet) hash(r Replica) uint64 { return xxhash.Sum64String(r.ID + " " + f.Self) }

// largestDemand returns the expected number of VMs with a share of the replica that has
// most, if each VM has a share of n replicas and prefers those of its zone.
func (f *Fleet) largestDemand(replicas []Replica, n, vms int) float64 {
	perZone := map[string]int{}
	for _, r := range replicas {
		perZone[r.Zone]++
	}
	known := 0
	for _, count := range f.ByZone {
		known += count
	}
	largest := 0.0
	for zone := range perZone {
		demand := 0.0
		for from, count := range f.ByZone {
			near := perZone[from]
			fraction := 0.0
			switch {
			case from == zone:
				fraction = min(float64(n)/float64(near), 1)
			case n > near:
				fraction = float64(n-near) / float64(len(replicas)-near)
			}
			demand += fraction * float64(count)
		}
		largest = max(largest, demand)
	}
	return largest * float64(vms) / float64(max(known, 1))
}

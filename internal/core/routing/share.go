package routing

import "github.com/cespare/xxhash/v2"

// sharer identifies one VM among those that share an upstream.
type sharer struct {
	id, zone string
	hash     uint64
}

// share returns how many of limit units belong to the sharer of the given rank
// among count sharers: unit k belongs to rank k mod count.
//
// The share never grows when rank or count grows. Hence the shares of several
// VMs add up to at most limit even if their lists differ, as long as each of
// these VMs is in the lists of all others.
func share(limit, rank, count int) int {
	if rank < 0 || rank >= limit || count <= 0 {
		return 0
	}
	return (limit - rank + count - 1) / count
}

// ring places the VMs of a domain and the replicas of a shard on a hash ring. A
// replica ranks the VMs by their distance to it.
//
// Replicas are spaced evenly, so that each VM has one nearby. The ranking of a
// replica is a fixed order of all possible VMs: it doesn't depend on which of
// them are listed, and a VM that joins or leaves shifts the rank of others by
// one.
type ring struct {
	self      sharer
	selfAt    uint64
	sharers   []sharer
	positions []uint64
	// selfIn reports whether self is one of the sharers.
	selfIn bool
}

func newRing(self sharer, sharers []sharer, shardHash uint64) ring {
	r := ring{
		self:      self,
		selfAt:    weight(self.hash, shardHash),
		sharers:   sharers,
		positions: make([]uint64, len(sharers)),
	}
	for i := range sharers {
		r.positions[i] = weight(sharers[i].hash, shardHash)
		r.selfIn = r.selfIn || sharers[i].hash == self.hash
	}
	return r
}

// rank returns the rank of self for the replica at the given position. VMs of
// the replica's own zone rank first. The rank is negative if self isn't a
// sharer.
func (r *ring) rank(at uint64, zone string) int {
	if !r.selfIn {
		return -1
	}
	own := distance(r.selfAt, at)
	ownNear := r.self.zone == zone
	rank := 0
	for i, position := range r.positions {
		vm := &r.sharers[i]
		near := vm.zone == zone
		if near != ownNear {
			if near {
				rank++
			}
			continue
		}
		if distance(position, at) < own && vm.hash != r.self.hash {
			rank++
		}
	}
	return rank
}

// topRanked returns the sharer with rank 0 for the replica at the given
// position, or nil.
func (r *ring) topRanked(at uint64, zone string) *sharer {
	var best *sharer
	var bestDistance uint64
	for i, position := range r.positions {
		vm := &r.sharers[i]
		d := distance(position, at)
		if best != nil {
			near, bestNear := vm.zone == zone, best.zone == zone
			if bestNear && !near || near == bestNear && d >= bestDistance {
				continue
			}
		}
		best, bestDistance = vm, d
	}
	return best
}

// spacedPosition returns the position of the replica with the given index among
// count replicas.
func spacedPosition(index, count int) uint64 {
	return uint64(index) * (^uint64(0)/uint64(count) + 1)
}

// distance is the length of the shorter arc between two positions.
func distance(a, b uint64) uint64 {
	d := a - b
	return min(d, -d)
}

func hashOf(s string) uint64 {
	return xxhash.Sum64String(s)
}

// weight combines two hashes into a rendezvous weight.
func weight(a, b uint64) uint64 {
	return mix(a ^ mix(b))
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

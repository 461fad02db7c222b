package routing

import "github.com/cespare/xxhash/v2"

// sharer identifies one VM in the ranking of an upstream.
type sharer struct {
	hash uint64
	zone string
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

// rankOf returns the rank of self among the VMs of a domain for one upstream.
// VMs of the upstream's own zone come first; hashes decide within a zone.
func rankOf(self sharer, domain []sharer, upstreamHash uint64, upstreamZone string) int {
	own := weight(self.hash, upstreamHash)
	ownNear := self.zone == upstreamZone
	rank := 0
	for i := range domain {
		vm := &domain[i]
		if vm.hash == self.hash {
			continue
		}
		near := vm.zone == upstreamZone
		if near != ownNear {
			if near {
				rank++
			}
			continue
		}
		if weight(vm.hash, upstreamHash) > own {
			rank++
		}
	}
	return rank
}

func hashOf(s string) uint64 {
	return xxhash.Sum64String(s)
}

// weight mixes two hashes into a rendezvous weight. The finalizer is that of
// SplitMix64 (Steele, Lea and Flood, 2014).
func weight(a, b uint64) uint64 {
	return mix(a ^ mix(b))
}

func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// connectionRoom is the part of a connection limit, one in connectionRoom, that
// belongs to nobody: connections of replaced VMs may linger at an upstream.
const connectionRoom = 10

// sharedConnections returns how many of an upstream's connections are shared
// out.
func sharedConnections(limit int) int {
	if limit <= 1 {
		return limit
	}
	room := (limit + connectionRoom - 1) / connectionRoom
	return limit - room
}

package routetable

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ExecutionFingerprint identifies which services may run a request of the route, how often, and
// who may send it. Unlike Fingerprint it leaves out timeouts, which go with each request, and
// the weights of targets.
func (r *Route) ExecutionFingerprint() uint64 {
	h := xxhash.New()
	if r.Sharded != nil {
		fmt.Fprintf(h, "%q %d %v", r.Sharded.Shards, r.Sharded.TopK, r.Sharded.MinShare) // never fails
	}
	for _, t := range r.Targets {
		if t.Weight > 0 {
			fmt.Fprintf(h, " %q", t.Service)
		}
	}
	fmt.Fprintf(h, " %v %d %v", r.Idempotent, r.Attempts, r.Public)
	return h.Sum64()
}

// KeyDigest returns a hash of a customer's key, which other VMs compare in place of the key.
func KeyDigest(key string) uint64 { return xxhash.Sum64String(key) }

// HoldsKey reports whether the customer has a key with the digest.
func (c *Customer) HoldsKey(digest uint64) bool {
	return slices.ContainsFunc(c.Keys, func(key string) bool { return KeyDigest(key) == digest })
}

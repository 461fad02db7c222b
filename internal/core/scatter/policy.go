package scatter

import "time"

// Policy holds the limits of one query.
type Policy struct {
	// MaxAttemptsPerShard bounds the requests to one shard.
	MaxAttemptsPerShard int
	// MaxHedgesPerShard bounds the hedges among them.
	MaxHedgesPerShard int
	// MinHedgeDelay is the earliest time of a hedge. Below it, waiting is cheaper
	// than another request and the connection that a cancel closes.
	MinHedgeDelay time.Duration
	// MaxRestarts bounds the changes from one snapshot to another after the
	// query has settled.
	MaxRestarts int
	// DiscoveryInterval is the number of queries among which one asks for any
	// snapshot instead of the most recent complete one. Zero: all of them do.
	DiscoveryInterval int
	// CapacityWait bounds the wait of a shard without a replica that can take a
	// request.
	CapacityWait time.Duration
	// CapacityPollInterval is the time between two tries while a shard waits.
	CapacityPollInterval time.Duration
	// RetryAfter is what a refusal advises when no upstream has said more.
	RetryAfter time.Duration
}

// DefaultPolicy returns the product's limits.
func DefaultPolicy() Policy {
	return Policy{
		MaxAttemptsPerShard:  6,
		MaxHedgesPerShard:    2,
		MinHedgeDelay:        2 * time.Millisecond,
		MaxRestarts:          2,
		DiscoveryInterval:    16,
		CapacityWait:         200 * time.Millisecond,
		CapacityPollInterval: 2 * time.Millisecond,
		RetryAfter:           time.Second,
	}
}

const (
	// maxSnapshots bounds the snapshots that one query tells apart.
	maxSnapshots = 8
	// maxShards bounds the shard count that a query believes of a snapshot.
	maxShards = 1 << 16
)

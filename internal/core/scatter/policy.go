package scatter

import "time"

// Policy holds the limits of one query.
type Policy struct {
	// MaxAttemptsPerShard bounds the requests to one shard.
	MaxAttemptsPerShard int
	// MaxHedgesPerShard bounds the hedges among the requests to one shard.
	MaxHedgesPerShard int
	// MinHedgeDelay is the shortest wait before a hedge. For shorter delays,
	// waiting costs less than another request and the connection that a
	// cancellation closes.
	MinHedgeDelay time.Duration
	// MaxRestarts bounds the changes from one snapshot to another after the
	// query has settled on one.
	MaxRestarts int
	// DiscoveryInterval makes one query in this many accept any snapshot
	// instead of requesting the most recent complete one. Zero makes all of
	// them do so.
	DiscoveryInterval int
	// CapacityWait bounds how long a shard waits while none of its replicas can
	// take a request.
	CapacityWait time.Duration
	// CapacityPollInterval is the time between two attempts to reserve a
	// replica while a shard waits.
	CapacityPollInterval time.Duration
	// RetryAfter is the least retry delay in a refusal. A longer one sent by an
	// upstream takes precedence.
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
	// maxSnapshots bounds the distinct snapshots that one query tracks.
	maxSnapshots = 8
	// maxShards bounds the shard count that a query accepts for a snapshot.
	maxShards = 1 << 16
)

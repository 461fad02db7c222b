package routing

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// table is the immutable routing table that traffic goroutines read. The
// upstreams and shards that it points to change under their own locks and
// atomics.
type table struct {
	epoch    time.Time
	services map[string]*serviceTable
	// upstreams holds every upstream that this VM has a share of or has
	// requests running at.
	upstreams map[string]*upstream
	// ordered holds the same upstreams in order of their IDs.
	ordered []*upstream
}

// order fills ordered.
func (t *table) order() {
	t.ordered = make([]*upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		t.ordered = append(t.ordered, u)
	}
	slices.SortFunc(t.ordered, func(a, b *upstream) int { return strings.Compare(a.id, b.id) })
}

type serviceTable struct {
	shards []shardTable
	stats  *serviceStats
}

// shardTable holds the replicas of a shard that this VM has a share of.
type shardTable struct {
	near, far []*upstream
	// tracked holds also those that this VM has lost its share of.
	tracked []*upstream
	state   *shardState
	// ruleKey identifies the rules that chose the sharing VMs.
	ruleKey string
	// servingKey names the zones that can serve the shard, and print the VMs
	// that share its upstreams.
	servingKey  string
	fingerprint uint64
	// guaranteed is the number of requests that this VM may run at the shard
	// whatever its upstreams report: its part of the slots of all replicas.
	guaranteed int32
}

func (t *shardTable) add(u *upstream, zone string) {
	if u.zone == zone {
		t.near = append(t.near, u)
		return
	}
	t.far = append(t.far, u)
}

// shardState outlives the tables.
type shardState struct {
	service string
	shard   int
	// running is the number of this VM's requests at all replicas.
	running atomic.Int32
	// refusedAt is the offset from the router's epoch, in nanoseconds, of the
	// latest pick that found no replica. Zero means never.
	refusedAt atomic.Int64
}

// serviceStats is what the replicas of a service have in common.
type serviceStats struct {
	// latency is a moving average over all warm replicas in nanoseconds.
	latency atomic.Int64
	// deadline is the longest time of a request in nanoseconds.
	deadline atomic.Int64
}

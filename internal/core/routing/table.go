package routing

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// table is the immutable routing table that traffic goroutines read. The
// upstreams and shards that it refers to are mutable and protected by their own
// locks and atomics.
type table struct {
	epoch    time.Time
	services map[string]*serviceTable
	// upstreams holds every upstream that this VM has a share of or has running
	// requests at.
	upstreams map[string]*upstream
	// ordered holds the same upstreams sorted by ID.
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

// shardTable holds the replicas of a shard that this VM has a share of, split
// into near ones (in this VM's zone) and far ones.
type shardTable struct {
	near, far []*upstream
	// tracked also includes upstreams that this VM no longer has a share of.
	tracked []*upstream
	state   *shardState
	// rankingKey is the result of shardBuilder.rankingKey.
	rankingKey string
	// servingKey identifies the zones that can serve the shard, and fingerprint
	// the VMs that share its upstreams.
	servingKey  string
	fingerprint uint64
	// guaranteedRequests is the number of requests that this VM may run at the
	// shard regardless of the load that its upstreams report. It is the result
	// of shardBuilder.guaranteedRequests.
	guaranteedRequests int32
}

func (t *shardTable) add(u *upstream, zone string) {
	if u.zone == zone {
		t.near = append(t.near, u)
		return
	}
	t.far = append(t.far, u)
}

// shardState holds the state of a shard that is kept when the table is rebuilt.
type shardState struct {
	service string
	shard   int
	// running is the number of this VM's running requests at all replicas.
	running atomic.Int32
	// refusedAt is the offset from the router's epoch, in nanoseconds, of the
	// latest pick that found no usable replica. Zero means never.
	refusedAt atomic.Int64
}

// serviceStats holds the values that all replicas of a service share.
type serviceStats struct {
	// latency is a moving average over all warm replicas in nanoseconds.
	latency atomic.Int64
	// deadline is the longest duration of a request in nanoseconds.
	deadline atomic.Int64
}

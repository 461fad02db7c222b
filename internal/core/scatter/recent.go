package scatter

import "sync/atomic"

// discoveryQueries is the number of queries that accept any snapshot after a
// replica lacked the most recent complete one.
const discoveryQueries = 100

// RecentSnapshot holds the snapshot of the last complete answer of one service.
// Queries request it from the start: a replica that holds it beside a newer one
// answers from it, and a replica that lacks it rejects the request without
// running it. One query in every Policy.DiscoveryInterval accepts any snapshot
// instead, which discovers newer ones.
//
// After a replica lacked the snapshot, the next queries accept any: during a
// rollout the snapshot of most answers is the better choice.
//
// RecentSnapshot is shared by all queries of the service and lock-free.
type RecentSnapshot struct {
	info            atomic.Pointer[SnapshotInfo]
	queries         atomic.Uint32
	discoveriesLeft atomic.Int32 // queries that still accept any snapshot
}

// next returns the snapshot to request, or false if there is none or this query
// should discover newer ones.
func (r *RecentSnapshot) next(discoveryInterval int) (SnapshotInfo, bool) {
	if r == nil || discoveryInterval <= 0 {
		return SnapshotInfo{}, false
	}
	info := r.info.Load()
	if info == nil || r.queries.Add(1)%uint32(discoveryInterval) == 0 {
		return SnapshotInfo{}, false
	}
	if r.discoveriesLeft.Load() > 0 {
		r.discoveriesLeft.Add(-1)
		return SnapshotInfo{}, false
	}
	return *info, true
}

// onSnapshotMissing records that a replica lacked the snapshot. The next
// discoveryQueries queries accept any snapshot, so that their answers show
// which one most replicas hold.
func (r *RecentSnapshot) onSnapshotMissing() {
	if r != nil {
		r.discoveriesLeft.Store(discoveryQueries)
	}
}

func (r *RecentSnapshot) load() (SnapshotInfo, bool) {
	if r == nil {
		return SnapshotInfo{}, false
	}
	info := r.info.Load()
	if info == nil {
		return SnapshotInfo{}, false
	}
	return *info, true
}

func (r *RecentSnapshot) store(info SnapshotInfo) {
	if r == nil {
		return
	}
	if old := r.info.Load(); old == nil || *old != info {
		kept := info // allocate only on a change
		r.info.Store(&kept)
	}
}

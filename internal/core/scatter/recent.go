package scatter

import "sync/atomic"

// discoveryQueries is the number of queries that ask for any snapshot after a
// replica lacked the most recent complete one.
const discoveryQueries = 100

// RecentSnapshot remembers the snapshot of the last complete answer of one service.
// Queries ask for it from the start, so that a replica that holds it beside a
// newer one answers from it, and one that lacks it says so without any work.
// Every few queries leave the choice to the replicas instead, which discovers
// newer snapshots.
//
// After a replica lacked the snapshot, queries ask for any for a while: in the
// middle of a change the majority of the answers is the better guide.
//
// RecentSnapshot is shared by all queries of the service without a lock.
type RecentSnapshot struct {
	info            atomic.Pointer[SnapshotInfo]
	queries         atomic.Uint32
	discoveriesLeft atomic.Int32 // queries that still ask for any snapshot
}

// next returns the snapshot to ask for, unless there is none or this query
// should look for newer ones.
func (r *RecentSnapshot) next(discoverEvery int) (SnapshotInfo, bool) {
	if r == nil || discoverEvery <= 0 {
		return SnapshotInfo{}, false
	}
	info := r.info.Load()
	if info == nil || r.queries.Add(1)%uint32(discoverEvery) == 0 {
		return SnapshotInfo{}, false
	}
	if r.discoveriesLeft.Load() > 0 {
		r.discoveriesLeft.Add(-1)
		return SnapshotInfo{}, false
	}
	return *info, true
}

// onSnapshotMissing tells that a replica lacked the snapshot. The next queries ask for
// any, and learn from the answers which snapshot most replicas hold.
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
		kept := info // only this copy is allocated
		r.info.Store(&kept)
	}
}

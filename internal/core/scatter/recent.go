package scatter

import "sync/atomic"

// Recent remembers the snapshot of the last complete answer of one service.
// Queries ask for it from the start, so that a replica that holds it beside a
// newer one answers from it, and one that lacks it says so without any work.
// Every few queries leave the choice to the replicas instead, which discovers
// newer snapshots.
//
// Recent is shared by all queries of the service without a lock.
type Recent struct {
	info    atomic.Pointer[SnapshotInfo]
	queries atomic.Uint32
}

// next returns the snapshot to ask for, unless there is none or this query
// should look for newer ones.
func (r *Recent) next(discoverEvery int) (SnapshotInfo, bool) {
	if r == nil || discoverEvery <= 0 {
		return SnapshotInfo{}, false
	}
	info := r.info.Load()
	if info == nil || r.queries.Add(1)%uint32(discoverEvery) == 0 {
		return SnapshotInfo{}, false
	}
	return *info, true
}

func (r *Recent) last() (SnapshotInfo, bool) {
	if r == nil {
		return SnapshotInfo{}, false
	}
	info := r.info.Load()
	if info == nil {
		return SnapshotInfo{}, false
	}
	return *info, true
}

func (r *Recent) store(info SnapshotInfo) {
	if r == nil {
		return
	}
	if old := r.info.Load(); old == nil || *old != info {
		kept := info // only this copy is allocated
		r.info.Store(&kept)
	}
}

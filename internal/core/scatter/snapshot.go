package scatter

import "time"

// snapshotState is what a query knows of one snapshot.
type snapshotState struct {
	info SnapshotInfo
	// bodies holds the answers by shard, of the snapshot's shards within the
	// layout. answered tells which of them have come.
	bodies        [][]byte
	answered      []bool
	answeredCount int
	// support is the number of results that named the snapshot.
	support int
	// unavailable tells the shards that no replica can answer from this snapshot.
	unavailable      []bool
	unavailableCount int
}

func (s *snapshotState) reset(info SnapshotInfo, layout int) {
	n := min(info.Shards, layout)
	s.info = info
	s.bodies = resize(s.bodies, n)
	s.answered = resize(s.answered, n)
	s.unavailable = resize(s.unavailable, n)
	s.answeredCount = 0
	s.support = 0
	s.unavailableCount = 0
}

func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	s = s[:n]
	clear(s)
	return s
}

func (s *snapshotState) store(k int, body []byte) {
	if s.answered[k] {
		return
	}
	s.answered[k] = true
	s.bodies[k] = body
	s.answeredCount++
	s.support++
	s.clearUnavailable(k)
}

func (s *snapshotState) markUnavailable(k int) {
	if !s.unavailable[k] && !s.answered[k] {
		s.unavailable[k] = true
		s.unavailableCount++
	}
}

func (s *snapshotState) clearUnavailable(k int) {
	if s.unavailable[k] {
		s.unavailable[k] = false
		s.unavailableCount--
	}
}

// snapshotIndex returns the index of a snapshot and adds one that is new. It
// returns none when the information contradicts what is known, can't be true, or
// exceeds the query's bounds.
func (q *Query) snapshotIndex(info SnapshotInfo) int {
	for i := range q.snapshots {
		if q.snapshots[i].info.ID != info.ID {
			continue
		}
		if q.snapshots[i].info.Shards != info.Shards {
			return none
		}
		return i
	}
	if !q.validSnapshot(info) || len(q.snapshots) == maxSnapshots {
		return none
	}
	n := len(q.snapshots)
	if n < cap(q.snapshots) {
		q.snapshots = q.snapshots[:n+1]
	} else {
		q.snapshots = append(q.snapshots, snapshotState{})
	}
	q.snapshots[n].reset(info, len(q.shards))
	return n
}

// usableIndex returns the index of a snapshot that the catalog's layout can
// answer completely, or none.
func (q *Query) usableIndex(info SnapshotInfo) int {
	if info.Shards > len(q.shards) {
		return none
	}
	return q.snapshotIndex(info)
}

// validSnapshot tells whether the query can use the snapshot. The chosen shard of a
// single-shard query is only right for the layout's own shard count.
func (q *Query) validSnapshot(info SnapshotInfo) bool {
	if info.Shards < 1 || info.Shards > maxShards {
		return false
	}
	if !q.spec.Snapshots {
		return true
	}
	if info.ID == "" {
		return false
	}
	return !q.spec.SingleShard || info.Shards == len(q.shards)
}

// total returns the shards that a complete answer from the snapshot has.
func (q *Query) total(i int) int {
	if q.spec.SingleShard {
		return 1
	}
	return q.snapshots[i].info.Shards
}

// needed tells whether the query still lacks the shard's answer from the
// snapshot and can hope for it.
func (q *Query) needed(i, k int) bool {
	s := &q.snapshots[i]
	return q.inScope(k) && k < len(s.answered) && !s.answered[k] && !s.unavailable[k]
}

// answeredOrRunning returns the shards that have answered from the snapshot or have an
// attempt that may.
func (q *Query) answeredOrRunning(i int) int {
	s := &q.snapshots[i]
	n := 0
	for k := range s.answered {
		if s.answered[k] || q.inScope(k) && q.attemptRunning(k, i) {
			n++
		}
	}
	return n
}

// reachableShards returns the shards that have answered from the snapshot or still
// can.
func (q *Query) reachableShards(i int) int {
	s := &q.snapshots[i]
	n := 0
	for k := range s.answered {
		if s.answered[k] || q.needed(i, k) && !q.exhausted(k, i) {
			n++
		}
	}
	return n
}

// trySettle chooses among the snapshots seen so far, and ends the choice once
// half of the shards have reported or the time for it is over.
func (q *Query) trySettle(now time.Time) {
	if q.settled || len(q.snapshots) == 0 {
		return
	}
	if q.current == none {
		q.current = 0
	}
	q.selectPreferred()
	if q.undecided(now) {
		return
	}
	if info, ok := q.shared.Recent.load(); ok && !q.sufficient(q.current) {
		q.usableIndex(info)
		q.selectPreferred()
	}
	q.settled = true
	q.cancelOthers()
	q.requestCurrentSnapshot(now)
}

func (q *Query) selectPreferred() {
	for i := range q.snapshots {
		if i != q.current && q.isPreferred(i, q.current) {
			q.current = i
		}
	}
}

// isPreferred tells whether snapshot i is a better choice than j: one that can
// reach the wanted coverage, and then the one that more results have named.
func (q *Query) isPreferred(i, j int) bool {
	if a, b := q.sufficient(i), q.sufficient(j); a != b {
		return a
	}
	return q.snapshots[i].support > q.snapshots[j].support
}

// sufficient tells whether the snapshot can reach the wanted coverage.
func (q *Query) sufficient(i int) bool {
	return q.reachableShards(i) >= q.requiredShards(q.total(i))
}

// undecided tells whether the choice of a snapshot should wait for more answers.
func (q *Query) undecided(now time.Time) bool {
	if 2*q.reported < q.scope() && now.Before(q.settleAt) {
		q.schedule(q.settleAt)
		return true
	}
	return !q.sufficient(q.current) && q.discoveryRunning()
}

// discoveryRunning tells whether an attempt for any snapshot is running.
func (q *Query) discoveryRunning() bool {
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.ended && !a.canceled && a.snapshot == none {
			return true
		}
	}
	return false
}

// requestCurrentSnapshot cancels the attempts that can't add to the wanted snapshot and asks
// every shard that lacks an answer from it.
func (q *Query) requestCurrentSnapshot(now time.Time) {
	for k := range q.shards {
		if q.needed(q.current, k) {
			q.ensureAttempt(now, k)
		} else {
			q.cancelShard(k)
		}
	}
}

// tryRestart moves to another snapshot when the wanted one can't be complete and
// the other gains coverage within the deadline. It tells whether it moved.
func (q *Query) tryRestart(now time.Time) bool {
	if !q.settled || len(q.snapshots) < 2 || q.stats.Restarts == q.shared.Policy.MaxRestarts {
		return false
	}
	lossy := q.hasUnavailableShard()
	best := q.current
	most := q.reachableShards(best) - q.slowShards(now)
	for i := range q.snapshots {
		if i == q.current {
			continue
		}
		n := q.reachableShards(i)
		if n*q.total(best) > most*q.total(i) {
			best, most = i, n
		}
	}
	if best == q.current || !q.restartFits(now) {
		return false
	}
	q.stats.Restarts++
	q.current = best
	if lossy {
		q.cancelOthers()
	}
	q.requestCurrentSnapshot(now)
	return true
}

// restartDue tells whether the time has come to restart because of slow replicas.
func (q *Query) restartDue(now time.Time) bool {
	return len(q.snapshots) > 1 && !now.Before(q.lastRestartAt) && q.slowShards(now) > 0
}

// slowShards returns the shards that depend on slow replicas alone for the wanted
// snapshot, once the time has come to restart because of them.
func (q *Query) slowShards(now time.Time) int {
	if now.Before(q.lastRestartAt) {
		return 0
	}
	n := 0
	for k := range q.snapshots[q.current].answered {
		if q.needed(q.current, k) && q.isSlow(now, k) {
			n++
		}
	}
	return n
}

// isSlow tells whether all running attempts of the shard are late and no other
// replica is left to ask.
func (q *Query) isSlow(now time.Time, k int) bool {
	if !q.attemptRunning(k, q.current) {
		return false
	}
	late := now.Add(-q.hedgeDelay(now, k))
	for i := q.shards[k].lastAttempt; i != none; i = q.attempts[i].previous {
		a := &q.attempts[i]
		if !a.ended && !a.canceled && a.sentAt.After(late) {
			return false
		}
	}
	return len(q.collectTried(k, q.current, true)) >= len(q.spec.Layout[k].Replicas)
}

// beyondLayout returns the shards of the wanted snapshot that the catalog's
// layout doesn't have.
func (q *Query) beyondLayout() int {
	if q.spec.SingleShard {
		return 0
	}
	return max(0, q.snapshots[q.current].info.Shards-len(q.shards))
}

// restartFits tells whether a new attempt usually ends before the deadline.
func (q *Query) restartFits(now time.Time) bool {
	left := q.spec.Deadline.Sub(now)
	d, known := q.shared.Latency.HedgeDelay(q.firstShard())
	return left > 0 && (!known || d < left)
}

// cancelOthers cancels the attempts that want another snapshot than the current
// one.
func (q *Query) cancelOthers() {
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.ended && a.snapshot != none && a.snapshot != q.current {
			q.cancel(a)
			q.shards[a.shard].nextKind = kindSnapshotRetry
		}
	}
}

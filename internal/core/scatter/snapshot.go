package scatter

import "time"

// snapshotState is a query's state for one index snapshot.
type snapshotState struct {
	info SnapshotInfo
	// bodies holds the answers by shard, for the shards that both the snapshot
	// and the layout have. answered marks those received.
	bodies        [][]byte
	answered      []bool
	answeredCount int
	// support is the number of results that named the snapshot: one for each
	// shard that answered from it, and one for each replica that lacked the
	// requested snapshot and reported that it holds this one.
	support int
	// unavailable marks the shards that were given up for this snapshot.
	unavailable      []bool
	unavailableCount int
}

func (s *snapshotState) reset(info SnapshotInfo, layoutShards int) {
	n := min(info.Shards, layoutShards)
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

// snapshotIndex returns the index of a snapshot, adding it if it is new. It
// returns none if the shard count contradicts an earlier one, the snapshot is
// invalid, or the query already tracks maxSnapshots.
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

// addUsable returns the index of the snapshot, adding it if it is new. It
// returns none if the catalog's layout lacks some of its shards, or if
// snapshotIndex does.
func (q *Query) addUsable(info SnapshotInfo) int {
	if info.Shards > len(q.shards) {
		return none
	}
	return q.snapshotIndex(info)
}

// validSnapshot reports whether the query can use the snapshot. A single-shard
// query can only use one with the layout's shard count, because its shard was
// chosen by that count.
func (q *Query) validSnapshot(info SnapshotInfo) bool {
	if info.Shards < 1 || info.Shards > maxShards {
		return false
	}
	if !q.spec.OneSnapshot {
		return true
	}
	if info.ID == "" {
		return false
	}
	return !q.spec.SingleShard || info.Shards == len(q.shards)
}

// shardsToAnswer returns the number of shards in a complete answer from the
// snapshot.
func (q *Query) shardsToAnswer(i int) int {
	if q.spec.SingleShard {
		return 1
	}
	return q.snapshots[i].info.Shards
}

// needed reports whether the shard's answer from the snapshot is missing and
// can still be obtained.
func (q *Query) needed(i, k int) bool {
	s := &q.snapshots[i]
	return q.inScope(k) && k < len(s.answered) && !s.answered[k] && !s.unavailable[k]
}

// answeredOrRunning returns the number of shards that have answered from the
// snapshot or have a running attempt that may.
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

// reachableShards returns the number of shards that have answered from the
// snapshot or still can.
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

// trySettle selects the preferred snapshot among those seen so far. The query
// settles on the choice once half of the shards have reported or settleAt has
// passed, unless the snapshot can't reach the required coverage and a discovery
// attempt is still running. If the choice can't reach that coverage, the
// snapshot of the service's last complete answer is considered as well. After
// the query has settled, only tryRestart changes the choice.
func (q *Query) trySettle(now time.Time) {
	if q.settled || len(q.snapshots) == 0 {
		return
	}
	if q.current == none {
		q.current = 0
	}
	q.selectPreferred()
	if q.deferSettling(now) {
		return
	}
	if info, ok := q.shared.Recent.load(); ok && !q.canSuffice(q.current) {
		q.addUsable(info)
		q.selectPreferred()
	}
	q.settled = true
	q.cancelOtherSnapshots()
	q.requestCurrentSnapshot(now)
}

func (q *Query) selectPreferred() {
	for i := range q.snapshots {
		if i != q.current && q.isPreferred(i, q.current) {
			q.current = i
		}
	}
}

// isPreferred reports whether snapshot i is a better choice than j. A snapshot
// that can reach the required coverage comes first, then the one named by more
// results.
func (q *Query) isPreferred(i, j int) bool {
	if a, b := q.canSuffice(i), q.canSuffice(j); a != b {
		return a
	}
	return q.snapshots[i].support > q.snapshots[j].support
}

// canSuffice reports whether the snapshot can reach the required coverage.
func (q *Query) canSuffice(i int) bool {
	return q.reachableShards(i) >= q.requiredShards(q.shardsToAnswer(i))
}

// deferSettling reports whether the choice of a snapshot should wait for more
// results. If it waits for settleAt, it sets the timer.
func (q *Query) deferSettling(now time.Time) bool {
	if 2*q.reported < q.scope() && now.Before(q.settleAt) {
		q.schedule(q.settleAt)
		return true
	}
	return !q.canSuffice(q.current) && q.discoveryRunning()
}

// discoveryRunning reports whether a discovery attempt is running.
func (q *Query) discoveryRunning() bool {
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.ended && !a.canceled && a.snapshot == none {
			return true
		}
	}
	return false
}

// requestCurrentSnapshot sends attempts to the shards that need an answer from
// the current snapshot and cancels the attempts of the other shards.
func (q *Query) requestCurrentSnapshot(now time.Time) {
	for k := range q.shards {
		if q.needed(q.current, k) {
			q.ensureAttempt(now, k)
		} else {
			q.cancelShard(k)
		}
	}
}

// tryRestart switches to the snapshot with the largest fraction of reachable
// shards, if that exceeds the current one's and a new attempt usually ends
// before the deadline. Slow shards count as unreachable for the current
// snapshot. It reports whether it switched.
//
// After a restart for slow shards alone, attempts for the previous snapshot go
// on for the shards that the new one needs: their answers may still complete
// the previous one.
func (q *Query) tryRestart(now time.Time) bool {
	if !q.settled || len(q.snapshots) < 2 || q.stats.Restarts == q.shared.Policy.MaxRestarts {
		return false
	}
	unavailable := q.hasUnavailableShard()
	best := q.current
	most := q.reachableShards(best) - q.slowShards(now)
	for i := range q.snapshots {
		if i == q.current {
			continue
		}
		n := q.reachableShards(i)
		if n*q.shardsToAnswer(best) > most*q.shardsToAnswer(i) {
			best, most = i, n
		}
	}
	if best == q.current || !q.restartFits(now) {
		return false
	}
	q.stats.Restarts++
	q.current = best
	if unavailable {
		q.cancelOtherSnapshots()
	}
	q.requestCurrentSnapshot(now)
	return true
}

// restartDue reports whether slow replicas justify a restart now.
func (q *Query) restartDue(now time.Time) bool {
	return len(q.snapshots) > 1 && !now.Before(q.waitForSlowUntil) && q.slowShards(now) > 0
}

// slowShards returns the number of shards that need an answer from the current
// snapshot and have only slow attempts left. It returns 0 before
// waitForSlowUntil.
func (q *Query) slowShards(now time.Time) int {
	if now.Before(q.waitForSlowUntil) {
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

// isSlow reports whether all running attempts of the shard have exceeded the
// hedge delay and no other replica is left to try.
func (q *Query) isSlow(now time.Time, k int) bool {
	if !q.attemptRunning(k, q.current) {
		return false
	}
	sentBefore := now.Add(-q.hedgeDelay(now, k))
	for i := q.shards[k].lastAttempt; i != none; i = q.attempts[i].previous {
		a := &q.attempts[i]
		if !a.ended && !a.canceled && a.sentAt.After(sentBefore) {
			return false
		}
	}
	return len(q.collectTried(k, q.current, true)) >= len(q.spec.Layout[k].Replicas)
}

// beyondLayout returns the number of shards of the current snapshot that the
// catalog's layout lacks.
func (q *Query) beyondLayout() int {
	if q.spec.SingleShard {
		return 0
	}
	return max(0, q.snapshots[q.current].info.Shards-len(q.shards))
}

// restartFits reports whether a new attempt usually ends before the deadline. It
// takes the first shard's hedge delay for the duration of an attempt.
func (q *Query) restartFits(now time.Time) bool {
	left := q.spec.Deadline.Sub(now)
	d, known := q.shared.Latency.HedgeDelay(q.firstShard())
	return left > 0 && (!known || d < left)
}

// cancelOtherSnapshots cancels the attempts that request another snapshot than
// the current one. The next attempt of their shards is a snapshot retry.
func (q *Query) cancelOtherSnapshots() {
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.ended && a.snapshot != none && a.snapshot != q.current {
			q.cancel(a)
			q.shards[a.shard].nextKind = kindSnapshotRetry
		}
	}
}

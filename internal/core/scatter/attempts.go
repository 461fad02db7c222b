package scatter

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// ensureAttempt sends an attempt to the shard unless one is running or the
// shard waits for capacity. If no attempt is possible, it gives the shard up
// for the current snapshot.
func (q *Query) ensureAttempt(now time.Time, k int) {
	s := &q.shards[k]
	if q.attemptRunning(k, q.current) || !s.pollAt.IsZero() || q.current != none && !q.needed(q.current, k) {
		return
	}
	if !q.attemptAllowed(k) || q.exhausted(k, q.current) {
		q.giveUpShard(k)
		return
	}
	if !q.shared.Budgets.take(s.nextKind) {
		q.giveUpShard(k)
		return
	}
	if !q.send(now, k, s.nextKind) {
		q.shared.Budgets.refund(s.nextKind)
		q.waitForCapacity(now, k)
	}
}

// waitForCapacity schedules the next try to reserve a replica, or gives the
// shard up at the end of its wait.
func (q *Query) waitForCapacity(now time.Time, k int) {
	s := &q.shards[k]
	if s.waitDeadline.IsZero() {
		wait := min(q.shared.Policy.CapacityWait, q.spec.Deadline.Sub(now)/2)
		s.waitDeadline = now.Add(wait)
	}
	if !now.Before(s.waitDeadline) {
		s.cause = verdict.CodeOverloaded
		q.giveUpShard(k)
		return
	}
	s.pollAt = now.Add(q.shared.Policy.CapacityPollInterval)
	q.schedule(s.pollAt)
}

// giveUpShard marks the shard as unavailable for the current snapshot, or as
// failed if there is no current snapshot yet.
func (q *Query) giveUpShard(k int) {
	q.markReported(k)
	if q.current == none {
		q.shards[k].failed = true
		q.failedShards++
		return
	}
	q.snapshots[q.current].markUnavailable(k)
}

// attemptAllowed reports whether the shard may have another attempt for any
// snapshot. A request that isn't idempotent must not be sent again once an
// attempt may have run.
func (q *Query) attemptAllowed(k int) bool {
	s := &q.shards[k]
	if s.failed || s.sent >= q.shared.Policy.MaxAttemptsPerShard {
		return false
	}
	return q.spec.Idempotent || s.running+s.canceled == 0 && !s.mayHaveRun
}

// exhausted reports whether every replica of the shard has been tried for the
// snapshot or must not be tried.
func (q *Query) exhausted(k, snapshot int) bool {
	if q.attemptRunning(k, snapshot) {
		return false
	}
	if !q.attemptAllowed(k) {
		return true
	}
	return len(q.collectTried(k, snapshot, false)) >= len(q.spec.Layout[k].Replicas)
}

// attemptRunning reports whether the shard has a running attempt that may
// answer from the snapshot.
func (q *Query) attemptRunning(k, snapshot int) bool {
	if q.shards[k].running == 0 {
		return false
	}
	for i := q.shards[k].lastAttempt; i != none; i = q.attempts[i].previous {
		a := &q.attempts[i]
		if !a.ended && !a.canceled && (a.snapshot == none || a.snapshot == snapshot) {
			return true
		}
	}
	return false
}

// collectTried lists the replicas to exclude for the snapshot: those with a
// running attempt, those that failed, and those that lack it. A replica whose
// attempt was canceled may be tried again. With busy set, replicas with a
// running attempt for another snapshot are excluded too.
func (q *Query) collectTried(k, snapshot int, busy bool) []string {
	q.tried = q.tried[:0]
	for i := q.shards[k].lastAttempt; i != none; i = q.attempts[i].previous {
		a := &q.attempts[i]
		running := !a.ended && !a.canceled && (busy || a.snapshot == none || a.snapshot == snapshot)
		skip := a.failed || running || snapshot != none && a.lacks&(1<<snapshot) != 0
		if skip && !contains(q.tried, a.target.Upstream) {
			q.tried = append(q.tried, a.target.Upstream)
		}
	}
	return q.tried
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// send reserves a replica and starts an attempt. It returns false when no
// replica can take one.
func (q *Query) send(now time.Time, k int, kind kind) bool {
	s := &q.shards[k]
	target, ok := q.pick(now, k, kind)
	if !ok {
		return false
	}
	i := len(q.attempts)
	q.attempts = append(q.attempts, attempt{
		id:       q.firstID + i,
		shard:    k,
		previous: s.lastAttempt,
		snapshot: q.current,
		kind:     kind,
		target:   target,
		sentAt:   now,
	})
	repeated := s.running+s.canceled > 0 || s.mayHaveRun
	s.lastAttempt = i
	s.running++
	s.sent++
	s.waitDeadline = time.Time{}
	s.nextKind = kindRetry
	q.pending++
	q.countAttempt(kind)
	invariant.Check(q.spec.Idempotent || !repeated, "scatter_repeated_request_not_idempotent")
	q.armHedge(now, k)
	q.sends = append(q.sends, Send{Attempt: Attempt{
		ID:       q.firstID + i,
		Shard:    k,
		Snapshot: q.currentID(),
		Target:   target,
		PickedAt: now,
		Deadline: q.spec.Deadline,
		Hedge:    kind == kindHedge,
	}})
	q.actions = append(q.actions, &q.sends[len(q.sends)-1])
	return true
}

// pick reserves a replica. A snapshot retry prefers a replica that hasn't
// answered from another snapshot, since one that has may no longer hold the
// current one.
func (q *Query) pick(now time.Time, k int, kind kind) (Target, bool) {
	tried := q.collectTried(k, q.current, true)
	if kind == kindSnapshotRetry && q.answeredAny(k) {
		n := len(tried)
		target, ok := q.shared.Picker.Pick(now, q.spec.Service, k, q.addAnswered(tried, k))
		if ok {
			return target, true
		}
		tried = q.tried[:n]
	}
	return q.shared.Picker.Pick(now, q.spec.Service, k, tried)
}

// addAnswered adds the replicas that have answered for the shard.
func (q *Query) addAnswered(tried []string, k int) []string {
	for i := q.shards[k].lastAttempt; i != none; i = q.attempts[i].previous {
		a := &q.attempts[i]
		if a.answered && !contains(tried, a.target.Upstream) {
			tried = append(tried, a.target.Upstream)
		}
	}
	q.tried = tried
	return tried
}

func (q *Query) currentID() string {
	if q.current == none {
		return ""
	}
	return q.snapshots[q.current].info.ID
}

func (q *Query) countAttempt(k kind) {
	q.stats.Attempts++
	switch k {
	case kindFirst:
		q.uncredited++
	case kindHedge:
		q.stats.Hedges++
	case kindRetry:
		q.stats.Retries++
	case kindSnapshotRetry:
		q.stats.SnapshotRetries++
	}
}

// cancel cancels a running attempt. A trial request is left running; its result
// is handled like that of a canceled attempt.
func (q *Query) cancel(a *attempt) {
	if a.ended || a.canceled {
		return
	}
	a.canceled = true
	q.shards[a.shard].running--
	q.shards[a.shard].canceled++
	if a.target.Trial {
		return
	}
	q.cancels = append(q.cancels, Cancel{Attempt: a.id})
	q.actions = append(q.actions, &q.cancels[len(q.cancels)-1])
}

// cancelShard cancels the shard's running attempts and its wait for capacity.
func (q *Query) cancelShard(k int) {
	s := &q.shards[k]
	s.hedgeAt = time.Time{}
	s.pollAt = time.Time{}
	if s.running == 0 {
		return
	}
	for i := s.lastAttempt; i != none; i = q.attempts[i].previous {
		q.cancel(&q.attempts[i])
	}
}

// endAttempt ends the attempt and its reservation.
func (q *Query) endAttempt(now time.Time, a *attempt, r Report) {
	a.ended = true
	q.pending--
	if a.canceled {
		q.shards[a.shard].canceled--
	} else {
		q.shards[a.shard].running--
	}
	q.shared.Picker.Done(now, q.spec.Service, a.shard, a.target, r)
}

package scatter

import "time"

// hedgeDelay returns the time after which a request to the shard counts as slow.
func (q *Query) hedgeDelay(now time.Time, k int) time.Duration {
	left := q.spec.Deadline.Sub(now)
	if d, ok := q.shared.Latency.HedgeDelay(k); ok {
		return min(max(d, q.shared.Policy.MinHedgeDelay), left)
	}
	return left / 2
}

// armHedge schedules the shard's next hedge.
func (q *Query) armHedge(now time.Time, k int) {
	s := &q.shards[k]
	s.hedgeAt = time.Time{}
	if !q.spec.Idempotent || s.hedges >= q.shared.Policy.MaxHedgesPerShard {
		return
	}
	if len(q.spec.Layout[k].Replicas) < 2 {
		return
	}
	s.hedgeAt = now.Add(q.hedgeDelay(now, k))
	q.schedule(s.hedgeAt)
}

// runTimers runs the timers that are due on each shard and schedules the
// others.
func (q *Query) runTimers(now time.Time) {
	for k := range q.shards {
		s := &q.shards[k]
		if !s.pollAt.IsZero() {
			q.runPoll(now, k)
		}
		if !s.hedgeAt.IsZero() {
			q.runHedge(now, k)
		}
	}
}

func (q *Query) runPoll(now time.Time, k int) {
	s := &q.shards[k]
	if now.Before(s.pollAt) {
		q.schedule(s.pollAt)
		return
	}
	s.pollAt = time.Time{}
	q.ensureAttempt(now, k)
}

func (q *Query) runHedge(now time.Time, k int) {
	s := &q.shards[k]
	if now.Before(s.hedgeAt) {
		q.schedule(s.hedgeAt)
		return
	}
	s.hedgeAt = time.Time{}
	if s.running == 0 || !q.attemptAllowed(k) || q.current != none && !q.needed(q.current, k) {
		return
	}
	if len(q.collectTried(k, q.current, true)) >= len(q.spec.Layout[k].Replicas) {
		return
	}
	if !q.shared.Budgets.take(kindHedge) {
		return
	}
	s.hedges++
	if !q.send(now, k, kindHedge) {
		s.hedges--
		q.shared.Budgets.refund(kindHedge)
	}
}

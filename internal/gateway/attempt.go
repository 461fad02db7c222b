package gateway

import (
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/exchange"
)

// Send implements fanout.Sender.
func (q *proxyRequest) Send(shard int, kind fanout.Kind) fanout.SendResult {
	now := time.Now()
	service := q.services[shard]
	q.markSlow(shard, now)
	placementRequest := placement.Request{
		Service: service, TypicalLatency: q.typicalLatency, Tried: q.triedInstances[shard], Scarcity: q.g.retryBudget.Scarcity(service),
	}
	f := q.g.picker.Pick(now, placementRequest)
	if f == nil && kind == fanout.Retry {
		// All instances were tried; a second try at one is better than none.
		placementRequest.Tried = nil
		f = q.g.picker.Pick(now, placementRequest)
	}
	if f == nil {
		q.unplaced++
		return fanout.NoUpstream
	}
	if !q.takeBudget(service, kind) {
		q.g.picker.Done(f, now, placement.Canceled, nil)
		q.denied++
		q.g.metrics.extraAttemptsDenied.Inc()
		return fanout.NoBudget
	}
	q.attempts++
	q.pending++
	q.triedInstances[shard] = append(q.triedInstances[shard], f.Instance)
	q.shardAttempts[shard] = append(q.shardAttempts[shard], f)
	go q.attempt(shard, kind, f)
	return fanout.Started
}

// takeBudget takes what an attempt of the kind costs of the budget.
func (q *proxyRequest) takeBudget(service string, kind fanout.Kind) bool {
	ok := true
	switch kind {
	case fanout.Hedge:
		ok = q.g.retryBudget.TakeHedge(service)
	case fanout.Retry, fanout.UrgentHedge:
		ok = q.g.retryBudget.Take(service)
	}
	if ok && (kind == fanout.Hedge || kind == fanout.UrgentHedge) {
		q.hedges++
	}
	return ok
}

// markSlow makes placement aware of attempts that a hedge or retry joins.
func (q *proxyRequest) markSlow(shard int, now time.Time) {
	for _, f := range q.shardAttempts[shard] {
		q.g.picker.MarkSlow(f, now)
	}
}

// attempt carries the request to one upstream.
func (q *proxyRequest) attempt(shard int, kind fanout.Kind, f *placement.Attempt) {
	u := f.Upstream
	req := &exchange.Request{
		ID: q.in.meta.ID, Head: q.head, Body: q.in.body,
		AppendTimed: func(dst []byte, remaining time.Duration) []byte {
			return q.g.headers.AppendAttempt(dst, remaining, u.ID)
		},
		SendLength: q.method != http.MethodGet && q.method != http.MethodHead,
		NoBody:     q.method == http.MethodHead,
		Deadline:   q.deadline,
	}
	a := q.g.pools.Get(u).Do(q.ctx, req, func() { q.g.picker.MarkSent(f, time.Now()) })
	q.done <- attemptResult{shard: shard, kind: kind, attempt: f, answer: a}
}

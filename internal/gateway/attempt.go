package gateway

import (
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/exchange"
)

// Send implements fanout.Sender.
func (q *run) Send(shard int, kind fanout.Kind) fanout.SendResult {
	now := time.Now()
	service := q.services[shard]
	q.tellLate(shard, now)
	wanted := placement.Request{
		Service: service, TypicalLatency: q.usual, Tried: q.nodes[shard], Scarcity: q.g.budget.Scarcity(service),
	}
	f := q.g.picker.Pick(now, wanted)
	if f == nil && kind == fanout.Retry {
		// All instances were tried; a second try at one is better than none.
		wanted.Tried = nil
		f = q.g.picker.Pick(now, wanted)
	}
	if f == nil {
		q.unplaced++
		return fanout.NoUpstream
	}
	if !q.mayRepeat(service, kind) {
		q.g.picker.Done(f, now, placement.Canceled, nil)
		q.denied++
		q.g.metrics.budgetEmpty.Inc()
		return fanout.NoBudget
	}
	q.attempts++
	q.pending++
	q.nodes[shard] = append(q.nodes[shard], f.Instance)
	q.flights[shard] = append(q.flights[shard], f)
	go q.attempt(shard, kind, f)
	return fanout.Started
}

// mayRepeat takes what an attempt of the kind costs of the budget.
func (q *run) mayRepeat(service string, kind fanout.Kind) bool {
	ok := true
	switch kind {
	case fanout.Hedge:
		ok = q.g.budget.TakeHedge(service)
	case fanout.Retry, fanout.UrgentHedge:
		ok = q.g.budget.Take(service)
	}
	if ok && (kind == fanout.Hedge || kind == fanout.UrgentHedge) {
		q.hedges++
	}
	return ok
}

// tellLate makes placement aware of attempts that a hedge or retry joins.
func (q *run) tellLate(shard int, now time.Time) {
	for _, f := range q.flights[shard] {
		q.g.picker.MarkSlow(f, now)
	}
}

// attempt carries the request to one upstream.
func (q *run) attempt(shard int, kind fanout.Kind, f *placement.Attempt) {
	u := f.Upstream
	req := &exchange.Request{
		ID: q.in.meta.ID, Head: q.head, Body: q.in.body,
		AppendTimed: func(dst []byte, left time.Duration) []byte {
			return q.g.headers.AppendAttempt(dst, left, u.ID)
		},
		SendLength: q.method != http.MethodGet && q.method != http.MethodHead,
		NoBody:     q.method == http.MethodHead,
		Deadline:   q.deadline,
	}
	a := q.g.pools.Get(u).Do(q.ctx, req, func() { q.g.picker.MarkSent(f, time.Now()) })
	q.done <- attemptResult{shard: shard, kind: kind, flight: f, answer: a}
}

package gateway

import (
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/exchange"
)

// hedgeReserve is the number of repeats that hedges leave for failed attempts.
const hedgeReserve = 1

// Send implements fanout.Sender.
func (q *run) Send(shard int, kind fanout.Kind) fanout.Sent {
	now := time.Now()
	service := q.services[shard]
	q.tellLate(shard, now)
	f := q.g.picker.Pick(now, service, q.usual, q.nodes[shard])
	if f == nil && kind == fanout.Retry {
		// All instances were tried; a second try at one is better than none.
		f = q.g.picker.Pick(now, service, q.usual, nil)
	}
	if f == nil {
		return fanout.NoUpstream
	}
	if kind != fanout.First {
		keep := 0.0
		if kind == fanout.Hedge {
			keep = hedgeReserve
		}
		if !q.g.budget.Take(service, keep) {
			q.g.picker.Done(f, now, placement.Abandoned, nil)
			q.g.metrics.budgetEmpty.Inc()
			return fanout.NoBudget
		}
		if kind == fanout.Hedge {
			q.hedges++
		}
	}
	q.attempts++
	q.pending++
	q.nodes[shard] = append(q.nodes[shard], f.Node)
	q.flights[shard] = append(q.flights[shard], f)
	go q.attempt(shard, kind, f)
	return fanout.Started
}

// tellLate makes placement aware of attempts that a hedge or retry joins.
func (q *run) tellLate(shard int, now time.Time) {
	for _, f := range q.flights[shard] {
		q.g.picker.Late(f, now)
	}
}

// attempt carries the request to one upstream.
func (q *run) attempt(shard int, kind fanout.Kind, f *placement.Flight) {
	u := f.Upstream
	head := make([]byte, 0, len(q.head)+128)
	head = append(head, q.head...)
	head = q.g.headers.AppendAttempt(head, time.Until(q.deadline), u.ID)
	req := &exchange.Request{
		ID: q.in.meta.ID, Head: head, Body: q.in.body,
		SendLength: q.method != http.MethodGet && q.method != http.MethodHead,
		NoBody:     q.method == http.MethodHead,
		Deadline:   q.deadline,
	}
	a := q.g.pools.Of(u).Do(q.ctx, req, func() { q.g.picker.Sent(f, time.Now()) })
	q.done <- attemptResult{shard: shard, kind: kind, flight: f, answer: a}
}

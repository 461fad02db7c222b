package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// handOver asks other VMs to run the request in place of an extra attempt if this VM's
// links may have failed, so that an extra attempt at the shard would be lost, too. It returns
// false if this VM should make the attempt. Attempts in flight go on, and the first
// response counts.
func (q *proxyRequest) handOver(now time.Time, shard int) bool {
	in := q.in
	if in.wasHandedOver || in.othersAsked || !q.linksMayHaveFailed(now, shard) {
		return false
	}
	helpers := q.g.helpers(now)
	if len(helpers.addresses) == 0 {
		return false
	}
	runs, ok := q.withdrawUnwritten()
	if !ok {
		return false
	}
	in.othersAsked = true
	req := q.g.executorRequest(in, q.method, q.requestHead)
	req.MaxRuns, req.HandedOver = runs, true
	// The other VM's attempts end with this request.
	ctx, cancel := context.WithCancel(q.ctx)
	q.cancelElsewhere = cancel
	q.elsewhere = make(chan elsewhereResult, 1)
	q.runsElsewhere = true
	go func() { q.elsewhere <- q.g.runElsewhere(ctx, helpers, req, in) }()
	q.g.log.Event("handed_over").Str("request", in.info.ID).Str("route", in.route.Name).
		Dur("after_ms", now.Sub(in.started)).Int("max_runs", runs).Send()
	return true
}

const (
	// minUnreachable is the number of instances that can't be connected to from which
	// another VM is asked.
	minUnreachable = 2
	// minLinkSilence is the least time without any response after which this VM's links
	// may have failed. It is about the latency of an upstream.
	minLinkSilence = 10 * time.Millisecond
)

// linksMayHaveFailed reports whether no upstream has responded to this VM, not even to
// other requests, for half of the request's time so far, or several instances couldn't
// be connected to while none received the request. If others have received it, several of
// the shard's own can't be connected to, and this VM may be unable to open connections.
func (q *proxyRequest) linksMayHaveFailed(now time.Time, shard int) bool {
	if q.unreachable >= minUnreachable && q.unreachable == q.attempts-q.attemptsInFlight && !q.writes.any() {
		return true
	}
	if q.unreachableOf[shard] >= minUnreachable && q.unreachableOf[shard] == len(q.shardAttempts[shard]) && q.g.reachable.MayOpenNone() {
		return true
	}
	silence := max(now.Sub(q.in.started)/2, minLinkSilence)
	if q.query.Answered() > 0 || q.g.reachable.RespondedSince(now.Add(-silence)) {
		return false
	}
	q.g.probeLinks()
	return true
}

// withdrawUnwritten makes sure that attempts which wait for a connection send nothing any
// more, and returns how many more upstreams of each shard may run the request. The first
// attempts of the other VM are extra attempts at the shards whose upstreams may have run
// it. It returns false, and withdraws nothing, if no run is left or the retry budget
// doesn't allow them.
func (q *proxyRequest) withdrawUnwritten() (runs int, ok bool) {
	w := &q.writes
	w.mu.Lock()
	defer w.mu.Unlock()
	runs = q.maxRuns
	var mayHaveRun []string
	for shard, n := range w.count {
		runs = min(runs, q.maxRuns-n)
		if n > 0 {
			mayHaveRun = append(mayHaveRun, q.services[shard])
		}
	}
	if runs <= 0 || !q.g.retryBudget.TakeAll(mayHaveRun) {
		return 0, false
	}
	w.withdrawn = true
	return runs, true
}

// writeCounts counts the attempts of each shard whose upstreams may have run the request.
// It is safe for concurrent use.
type writeCounts struct {
	mu        sync.Mutex
	count     []int // by shard
	withdrawn bool  // no further attempt is written
}

// begin records that an attempt is about to be written. It returns false if it must not
// be.
func (w *writeCounts) begin(shard int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.withdrawn {
		w.count[shard]++
	}
	return !w.withdrawn
}

// any reports whether an attempt has been written that an upstream may have run.
func (w *writeCounts) any() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Max(w.count) > 0
}

// withdraw makes sure that no further attempt is written.
func (w *writeCounts) withdraw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withdrawn = true
}

// isWithdrawn reports whether no further attempt is written.
func (w *writeCounts) isWithdrawn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.withdrawn
}

// undo records that the upstream hasn't run a written attempt.
func (w *writeCounts) undo(shard int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count[shard]--
}

// onElsewhereResult handles the result of another VM. It returns true if that completes
// the request.
func (q *proxyRequest) onElsewhereResult(r elsewhereResult) bool {
	q.runsElsewhere = false
	if r.err == nil && r.result.Failure == "" {
		q.remote = &r
		return true
	}
	v := verdict.MayHaveRun
	if r.notRun {
		v = verdict.NotRun
	} else if r.err != nil {
		q.lastErr = r.err
	}
	q.query.OnElsewhereFailed(time.Now(), v)
	return false
}

// completeRemote adds this VM's own attempts to the result of another VM.
func (q *proxyRequest) completeRemote(r requestResult) requestResult {
	own := q.completeResult(requestResult{})
	q.g.countAttempts(own)
	r.handedOver = true
	r.attempts += own.attempts
	r.hedges += own.hedges
	r.deniedByBudget += own.deniedByBudget
	r.withoutUpstream += own.withoutUpstream
	r.atLimit += own.atLimit
	return r
}

// passOnRemote returns the result of the VM that this one has handed another VM's request
// over to.
func (q *proxyRequest) passOnRemote() executor.Result {
	out := q.remote.result
	result := q.completeRemote(requestResult{
		status: http.StatusOK, executor: q.remote.executor, missing: out.Missing, shards: len(q.services), answered: out.Answered,
		attempts: out.Attempts, hedges: out.Hedges, deniedByBudget: out.DeniedByBudget, withoutUpstream: out.WithoutUpstream, atLimit: out.AtLimit,
	})
	out.Attempts, out.Hedges, out.DeniedByBudget = result.attempts, result.hedges, result.deniedByBudget
	q.g.recordExecution(q.in, result)
	return out
}

package fanout

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// scriptedSender is a Sender whose results the test sets.
type scriptedSender struct {
	sent   []Kind
	shards []int
	next   map[int][]SendResult // results by shard; Started once they are used up
}

func (s *scriptedSender) Send(shard int, kind Kind) SendResult {
	result := Started
	if q := s.next[shard]; len(q) > 0 {
		result, s.next[shard] = q[0], q[1:]
	}
	if result == Started {
		s.sent = append(s.sent, kind)
		s.shards = append(s.shards, shard)
	}
	return result
}

var start = time.Unix(100, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func policy(shards int, minShare float64) Policy {
	return Policy{
		Shards: shards, MinShare: minShare, MaxRuns: 2, Idempotent: true,
		HedgeDelay: 10 * time.Millisecond, SoftDeadline: at(80), UpstreamWaitDeadline: at(30), Deadline: at(1000),
	}
}

func expectOutcome(t *testing.T, q *Query, want Outcome) {
	t.Helper()
	if q.Outcome() != want {
		t.Errorf("outcome is %v, want %v", q.Outcome(), want)
	}
}

func expectSent(t *testing.T, s *scriptedSender, want ...Kind) {
	t.Helper()
	if len(s.sent) != len(want) {
		t.Fatalf("attempts are %v, want %v", s.sent, want)
	}
	for i := range want {
		if s.sent[i] != want[i] {
			t.Fatalf("attempts are %v, want %v", s.sent, want)
		}
	}
}

func TestCompleteAnswerEndsAtOnce(t *testing.T) {
	s := &scriptedSender{}
	q := New(policy(3, 0.5), s)
	q.Start(start)
	q.OnResult(at(5), 0, true, verdict.Ran)
	q.OnResult(at(6), 1, true, verdict.Ran)
	expectOutcome(t, q, Running)
	q.OnResult(at(7), 2, true, verdict.Ran)
	expectOutcome(t, q, Success)
}

func TestPartialAnswerWaitsForTheSoftDeadline(t *testing.T) {
	q := New(policy(10, 0.9), &scriptedSender{})
	q.Start(start)
	for i := range 9 {
		q.OnResult(at(5), i, true, verdict.Ran)
	}
	expectOutcome(t, q, Running)
	if next := q.NextTimer(at(20)); next.After(at(80)) {
		t.Errorf("the timer is due after %v, want the soft deadline at the latest", next.Sub(start))
	}
	q.OnTimer(at(80))
	expectOutcome(t, q, Success)
}

func TestTooFewShardsContinueAfterTheSoftDeadline(t *testing.T) {
	q := New(policy(10, 0.9), &scriptedSender{})
	q.Start(start)
	for i := range 8 {
		q.OnResult(at(5), i, true, verdict.Ran)
	}
	q.OnTimer(at(80))
	expectOutcome(t, q, Running)
	q.OnResult(at(90), 8, true, verdict.Ran)
	expectOutcome(t, q, Success)
}

func TestHedgeOnceAfterTheDelay(t *testing.T) {
	s := &scriptedSender{}
	q := New(policy(1, 1), s)
	q.Start(start)
	q.OnTimer(at(9))
	expectSent(t, s, First)
	q.OnTimer(at(10))
	q.OnTimer(at(30))
	expectSent(t, s, First, UrgentHedge)
	q.OnResult(at(31), 0, true, verdict.Ran)
	expectOutcome(t, q, Success)
}

func TestHedgesAreUrgentOnlyWhereAShardIsNeeded(t *testing.T) {
	s := &scriptedSender{}
	q := New(policy(10, 0.9), s)
	q.Start(start)
	for i := range 8 {
		q.OnResult(at(5), i, true, verdict.Ran)
	}
	q.OnTimer(at(10))
	if got := s.sent[10:]; len(got) != 2 || got[0] != UrgentHedge || got[1] != UrgentHedge {
		t.Errorf("with two shards open the hedges are %v", got)
	}

	s = &scriptedSender{}
	q = New(policy(10, 0.9), s)
	q.Start(start)
	for i := range 9 {
		q.OnResult(at(5), i, true, verdict.Ran)
	}
	q.OnTimer(at(10))
	if got := s.sent[10:]; len(got) != 1 || got[0] != Hedge {
		t.Errorf("with one shard open the hedges are %v", got)
	}
}

func TestNoHedgeForNonIdempotentRequest(t *testing.T) {
	s := &scriptedSender{}
	p := policy(1, 1)
	p.Idempotent = false
	q := New(p, s)
	q.Start(start)
	q.OnTimer(at(500))
	expectSent(t, s, First)
	q.OnResult(at(501), 0, false, verdict.MayHaveRun)
	expectSent(t, s, First)
	expectOutcome(t, q, Unanswerable)
	if q.Verdict() != verdict.MayHaveRun {
		t.Errorf("verdict is %v", q.Verdict())
	}
}

func TestNotRunIsRetriedForNonIdempotentRequest(t *testing.T) {
	s := &scriptedSender{}
	p := policy(1, 1)
	p.Idempotent = false
	q := New(p, s)
	q.Start(start)
	q.OnResult(at(1), 0, false, verdict.NotRun)
	expectSent(t, s, First, Retry)
	q.OnResult(at(2), 0, true, verdict.Ran)
	expectOutcome(t, q, Success)
}

func TestRunsPerShardAreLimited(t *testing.T) {
	s := &scriptedSender{}
	q := New(policy(1, 1), s)
	q.Start(start)
	q.OnResult(at(1), 0, false, verdict.MayHaveRun)
	q.OnResult(at(2), 0, false, verdict.Ran)
	expectSent(t, s, First, Retry)
	expectOutcome(t, q, Unanswerable)
}

func TestUnanswerableRequestEndsAtOnce(t *testing.T) {
	p := policy(10, 0.9)
	p.MaxRuns = 1
	q := New(p, &scriptedSender{})
	q.Start(start)
	q.OnResult(at(1), 0, false, verdict.MayHaveRun)
	expectOutcome(t, q, Running)
	q.OnResult(at(2), 1, false, verdict.MayHaveRun)
	expectOutcome(t, q, Unanswerable)
}

func TestFailedShardDoesNotDelayAPartialAnswer(t *testing.T) {
	s := &scriptedSender{next: map[int][]SendResult{3: {NoUpstream, NoUpstream, NoUpstream, NoUpstream}}}
	q := New(policy(10, 0.9), s)
	q.Start(start)
	for i := range 10 {
		if i != 3 {
			q.OnResult(at(5), i, true, verdict.Ran)
		}
	}
	expectOutcome(t, q, Running)
	for _, ms := range []int{10, 20, 30} {
		q.OnTimer(at(ms))
	}
	expectOutcome(t, q, Success)
}

func TestRetryWithoutBudgetFailsTheShard(t *testing.T) {
	s := &scriptedSender{next: map[int][]SendResult{0: {Started, NoBudget}}}
	q := New(policy(1, 1), s)
	q.Start(start)
	q.OnResult(at(1), 0, false, verdict.MayHaveRun)
	expectOutcome(t, q, Unanswerable)
}

func TestDeadline(t *testing.T) {
	q := New(policy(2, 1), &scriptedSender{})
	q.Start(start)
	q.OnTimer(at(999))
	expectOutcome(t, q, Running)
	q.OnTimer(at(1000))
	expectOutcome(t, q, TimedOut)
}

func TestLateResultsAreIgnored(t *testing.T) {
	q := New(policy(1, 1), &scriptedSender{})
	q.Start(start)
	q.OnTimer(at(10))
	if !q.OnResult(at(11), 0, true, verdict.Ran) {
		t.Error("the first answer was ignored")
	}
	if q.OnResult(at(12), 0, true, verdict.Ran) {
		t.Error("a second answer was accepted")
	}
}

// TestShardAtItsLimitFailsAtOnce checks that a shard whose upstreams are at their limits
// neither waits nor is tried again.
func TestShardAtItsLimitFailsAtOnce(t *testing.T) {
	s := &scriptedSender{next: map[int][]SendResult{0: {AtLimit}, 1: {Started, AtLimit}}}
	q := New(policy(2, 0.5), s)
	q.Start(start)
	if next := q.NextTimer(start); next.Before(at(10)) {
		t.Errorf("the timer is due after %v, before that of the hedge", next.Sub(start))
	}
	q.OnTimer(at(10)) // the hedge of shard 1 isn't admitted
	expectOutcome(t, q, Running)
	q.OnResult(at(12), 1, true, verdict.Ran)
	expectOutcome(t, q, Success)
	expectSent(t, s, First)

	q = New(policy(1, 1), &scriptedSender{next: map[int][]SendResult{0: {AtLimit}}})
	q.Start(start)
	expectOutcome(t, q, Unanswerable)
	if q.Verdict() != verdict.NotRun {
		t.Errorf("the verdict is %v", q.Verdict())
	}
}

// TestRequestThatRunsElsewhere checks that shards whose attempts have failed stay open
// while another VM runs the request, and fail once that VM has failed.
func TestRequestThatRunsElsewhere(t *testing.T) {
	s := &scriptedSender{next: map[int][]SendResult{0: {Started, Elsewhere}, 1: {Started, NoBudget}}}
	q := New(policy(3, 1), s)
	q.Start(start)
	q.OnResult(at(1), 0, false, verdict.NotRun)
	q.OnResult(at(2), 1, false, verdict.NotRun)
	expectOutcome(t, q, Running)
	q.OnResult(at(3), 2, true, verdict.Ran)
	expectOutcome(t, q, Running)
	q.OnElsewhereFailed(at(4), verdict.MayHaveRun)
	expectOutcome(t, q, Unanswerable)
	expectSent(t, s, First, First, First)
}

// TestAttemptInFlightCountsAfterTheFailureElsewhere checks that an own attempt still
// completes the request.
func TestAttemptInFlightCountsAfterTheFailureElsewhere(t *testing.T) {
	s := &scriptedSender{next: map[int][]SendResult{0: {Started, Elsewhere}}}
	q := New(policy(1, 1), s)
	q.Start(start)
	q.OnTimer(at(10))
	q.OnElsewhereFailed(at(20), verdict.NotRun)
	expectOutcome(t, q, Running)
	q.OnResult(at(30), 0, true, verdict.Ran)
	expectOutcome(t, q, Success)
}

func TestElsewhereEndsAtTheDeadline(t *testing.T) {
	s := &scriptedSender{next: map[int][]SendResult{0: {Started, Elsewhere}}}
	q := New(policy(1, 1), s)
	q.Start(start)
	q.OnResult(at(1), 0, false, verdict.NotRun)
	q.OnTimer(at(1000))
	expectOutcome(t, q, TimedOut)
}

// TestEndedRequestKeepsASufficientAnswer checks what a request gets that is ended early, as its
// VM stops.
func TestEndedRequestKeepsASufficientAnswer(t *testing.T) {
	for answers, want := range map[int]Outcome{0: TimedOut, 1: TimedOut, 2: Success, 3: Success} {
		q := New(policy(3, 0.6), &scriptedSender{})
		q.Start(start)
		for i := range answers {
			q.OnResult(at(5), i, true, verdict.Ran)
		}
		q.End()
		expectOutcome(t, q, want)
	}
}

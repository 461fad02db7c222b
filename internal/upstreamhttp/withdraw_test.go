package upstreamhttp

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// holdConnection takes the only connection of a pool, and returns it.
func holdConnection(t *testing.T, p *Pool) *conn {
	t.Helper()
	expectBody(t, do(t, p, request("first")), "right")
	c, _, err := p.reserve(nil, nil)
	if err != nil || c == nil {
		t.Fatal("no idle connection", err)
	}
	return c
}

// awaitWaiters waits until a number of requests wait for a connection.
func awaitWaiters(p *Pool, n int) {
	for p.Waiting() != n {
		time.Sleep(time.Millisecond)
	}
}

func expectWithdrawn(t *testing.T, a Result) {
	t.Helper()
	if a.Verdict != verdict.NotRun || !errors.Is(a.Err, ErrNotWritten) {
		t.Errorf("the result is %+v, want a withdrawn request", a)
	}
}

// TestWaitingRequestsAreWithdrawnAtOnce guards against requests that wait for a connection to
// an instance until their deadline, although it is known that they won't be sent to it.
func TestWaitingRequestsAreWithdrawnAtOnce(t *testing.T) {
	addr, _, requests := startCounting(t)
	p := NewPool(addr, 1, dial, plainInspector{})
	held := holdConnection(t, p)
	var unwanted atomic.Bool
	results, kept := make(chan Result, 2), make(chan Result, 1)
	for _, id := range []string{"a", "b"} {
		r := request(id)
		r.IsWanted = func() bool { return !unwanted.Load() }
		go func() { results <- do(t, p, r) }()
	}
	go func() { kept <- do(t, p, request("c")) }()
	awaitWaiters(p, 3)
	p.WithdrawWaiting()
	awaitWaiters(p, 3)
	unwanted.Store(true)
	p.WithdrawWaiting()
	expectWithdrawn(t, <-results)
	expectWithdrawn(t, <-results)

	late := request("d") // placed before, and waits only now
	late.IsWanted = func() bool { return !unwanted.Load() }
	expectWithdrawn(t, do(t, p, late))

	p.put(held)
	expectBody(t, <-kept, "right")
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests were sent, want 2", n)
	}
}

// TestWaitingRequestsOfAClosedPool checks that requests that wait for a connection to an
// instance that is gone end at once, and that its reachability isn't blamed.
func TestWaitingRequestsOfAClosedPool(t *testing.T) {
	addr, _, _ := startCounting(t)
	p := NewPool(addr, 1, dial, plainInspector{})
	holdConnection(t, p)
	result := make(chan Result)
	go func() { result <- do(t, p, request("a")) }()
	awaitWaiters(p, 1)
	p.Close()
	expectWithdrawn(t, <-result)
	expectWithdrawn(t, do(t, p, request("b")))
}

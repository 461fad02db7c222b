package upstreamhttp

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

const rejection = "HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// startSecondAnswers starts an upstream that rejects the first request with ID a, runs the
// others, and sends a copy of that rejection before the next response on the same connection.
// between is the number of other requests on the connection before the copy is sent.
func startSecondAnswers(t *testing.T, between int) (address string, ran *atomic.Int32) {
	t.Helper()
	var rejected atomic.Bool
	ran = &atomic.Int32{}
	return startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		copyAfter := -1
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			if id == "a" && rejected.CompareAndSwap(false, true) {
				copyAfter = between
				io.WriteString(nc, rejection)
				continue
			}
			if copyAfter == 0 {
				io.WriteString(nc, rejection)
			}
			copyAfter--
			if id == "a" {
				ran.Add(1)
			}
			io.WriteString(nc, response(id, "right"))
		}
	}), ran
}

// TestSecondRejectionIsNotThatOfTheRepeat guards against a request that is said not to have
// run, or is sent once more, though an upstream runs it: the repeat of a rejected request got
// the connection of the rejection, whose late copy bears the same ID.
func TestSecondRejectionIsNotThatOfTheRepeat(t *testing.T) {
	for _, between := range []int{0, 1, 3} {
		t.Run("after "+itoa(between), func(t *testing.T) {
			addr, ran := startSecondAnswers(t, between)
			p := NewPool(addr, 1, dial, plainInspector{})
			first := do(t, p, request("a"))
			if first.Verdict != verdict.NotRun || first.Err != nil {
				t.Fatalf("the first attempt isn't rejected: %+v", first)
			}
			for i := range between {
				expectBody(t, do(t, p, request("b"+itoa(i))), "right")
			}
			expectBody(t, do(t, p, request("a")), "right")
			if n := ran.Load(); n != 1 {
				t.Errorf("the request ran %d times", n)
			}
			if open, _, _ := p.Stats(); open != 1 {
				t.Errorf("%d connections are open, the limit is 1", open)
			}
		})
	}
}

// TestRepeatThatWaitsGetsAnotherConnection is the same for a repeat that waits until the
// connection of the rejection is free.
func TestRepeatThatWaitsGetsAnotherConnection(t *testing.T) {
	addr, ran := startSecondAnswers(t, 0)
	p := NewPool(addr, 1, dial, plainInspector{})
	if first := do(t, p, request("a")); first.Verdict != verdict.NotRun {
		t.Fatalf("the first attempt isn't rejected: %+v", first)
	}
	c, _, err := p.reserve(nil, nil)
	if err != nil || c == nil {
		t.Fatal("no idle connection", err)
	}
	repeat := make(chan Result)
	go func() { repeat <- do(t, p, request("a")) }()
	awaitWaiters(p, 1)
	p.put(c)
	expectBody(t, <-repeat, "right")
	if n := ran.Load(); n != 1 {
		t.Errorf("the request ran %d times", n)
	}
	if open, _, _ := p.Stats(); open != 1 {
		t.Errorf("%d connections are open, the limit is 1", open)
	}
}

// TestWaitingRequestGetsNoConnectionWithStrayBytes checks that a connection is checked before
// it passes from one request to the next, too.
func TestWaitingRequestGetsNoConnectionWithStrayBytes(t *testing.T) {
	var conns atomic.Int32
	stray := make(chan struct{})
	addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		first := conns.Add(1) == 1
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			io.WriteString(nc, response(r.Header.Get("Id"), "right"))
			if first {
				<-stray
				io.WriteString(nc, "qzx qzx qzx")
				stray <- struct{}{}
				return
			}
		}
	})
	p := NewPool(addr, 1, dial, plainInspector{})
	expectBody(t, do(t, p, request("a")), "right")
	c, _, err := p.reserve(nil, nil)
	if err != nil || c == nil {
		t.Fatal("no idle connection", err)
	}
	next := make(chan Result)
	go func() { next <- do(t, p, request("b")) }()
	awaitWaiters(p, 1)
	stray <- struct{}{}
	<-stray
	for c.usable(time.Now()) { // until the bytes have arrived
		time.Sleep(time.Millisecond)
	}
	p.put(c)
	expectBody(t, <-next, "right")
}

package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// startCounting starts an upstream that counts its connections and requests.
func startCounting(t *testing.T) (address string, conns, requests *atomic.Int32) {
	t.Helper()
	conns, requests = &atomic.Int32{}, &atomic.Int32{}
	return startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		conns.Add(1)
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			requests.Add(1)
			io.WriteString(nc, response(r.Header.Get("Id"), "right"))
		}
	}), conns, requests
}

// TestWithdrawnRequestIsNotWritten checks that an attempt that must not be written leaves
// its connection for the next one.
func TestWithdrawnRequestIsNotWritten(t *testing.T) {
	addr, conns, requests := startCounting(t)
	p := NewPool(addr, 1, dial, plainInspector{})
	r := p.Do(t.Context(), request("a"), func() bool { return false })
	if r.Verdict != verdict.NotRun || !errors.Is(r.Err, ErrNotWritten) {
		t.Errorf("the result is %+v", r)
	}
	expectBody(t, do(t, p, request("b")), "right")
	if requests.Load() != 1 || conns.Load() != 1 {
		t.Errorf("%d requests over %d connections, want one over one", requests.Load(), conns.Load())
	}
}

// TestReconnectReplacesAnIdleConnection guards against a check of an upstream that is
// satisfied by a connection that has long been silent.
func TestReconnectReplacesAnIdleConnection(t *testing.T) {
	addr, conns, _ := startCounting(t)
	p := NewPool(addr, 1, dial, plainInspector{})
	expectBody(t, do(t, p, request("a")), "right")
	if err := p.Reconnect(t.Context(), time.Millisecond); err != nil {
		t.Fatal(err)
	}
	expectBody(t, do(t, p, request("b")), "right")
	if open, idle, _ := p.Stats(); open != 1 || idle != 1 || conns.Load() != 2 {
		t.Errorf("%d open, %d idle, %d accepted connections; want 1, 1 and 2", open, idle, conns.Load())
	}
}

func TestReconnectToARefusingUpstreamFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p := NewPool(l.Addr().String(), 1, dial, plainInspector{})
	if err := p.Reconnect(t.Context(), time.Millisecond); err == nil {
		t.Error("connected to an address without a listener")
	}
	if open, _, _ := p.Stats(); open != 0 {
		t.Errorf("%d connections count as open", open)
	}
}

// TestFailedReconnectKeepsTheIdleConnection guards against a check of a VM that can't open
// connections and that costs it those that work.
func TestFailedReconnectKeepsTheIdleConnection(t *testing.T) {
	addr, _, _ := startCounting(t)
	var resets, refuses bool
	p := NewPool(addr, 1, func(ctx context.Context, address string) (net.Conn, error) {
		if refuses {
			return nil, syscall.ECONNREFUSED
		}
		nc, err := dial(ctx, address)
		if resets {
			nc.Close()
		}
		return nc, err
	}, plainInspector{})
	expectBody(t, do(t, p, request("a")), "right")
	resets = true
	if err := p.Reconnect(t.Context(), time.Millisecond); !errors.Is(err, ErrClosedAtOnce) {
		t.Errorf("the error is %v", err)
	}
	refuses = true
	if err := p.Reconnect(t.Context(), time.Millisecond); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the error is %v", err)
	}
	_, _, dials := p.Stats()
	expectBody(t, do(t, p, request("b")), "right")
	if open, idle, after := p.Stats(); open != 1 || idle != 1 || after != dials {
		t.Errorf("%d open, %d idle, %d connections more; want 1, 1 and none", open, idle, after-dials)
	}
}

package upstreamhttp

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestLiveness checks an instance that closes one connection, one that has ended, and one
// of whose connections none is free.
func TestLiveness(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if _, _, err := readRequest(bufio.NewReader(nc)); err == nil {
				nc.Close()
			}
		}
	}()
	p := NewPool(l.Addr().String(), 1, dial, plainInspector{})
	r := p.Do(t.Context(), request("1"), func() bool { return true })
	if !r.ConnectionLost() {
		t.Fatalf("the result %+v isn't a lost connection", r)
	}
	if got := p.CheckLiveness(t.Context()); got != Alive {
		t.Errorf("an instance that accepts connections is %v", got)
	}
	if open, idle, _ := p.Stats(); open != 1 || idle != 1 {
		t.Errorf("%d connections, %d of them idle, want the one of the check", open, idle)
	}
	c, _, err := p.reserve(nil, nil)
	if err != nil || c == nil {
		t.Fatal("no connection", err)
	}
	if got := p.CheckLiveness(t.Context()); got != Unknown {
		t.Errorf("an instance whose only connection is in use is %v", got)
	}
	p.discard(c)
	l.Close()
	if got := p.CheckLiveness(t.Context()); got != Ended {
		t.Errorf("an instance that refuses connections is %v", got)
	}
	if r := p.Do(t.Context(), request("2"), func() bool { return true }); r.ConnectionLost() {
		t.Errorf("a connection that wasn't opened counts as lost: %+v", r)
	}
}

// TestResetDialIsNotAnEndedInstance guards against innocent requests that are quarantined
// because something between a VM and an instance accepts connections and resets them.
func TestResetDialIsNotAnEndedInstance(t *testing.T) {
	p := NewPool("", 1, func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNRESET }, plainInspector{})
	if got := p.CheckLiveness(t.Context()); got != Unknown {
		t.Errorf("an instance whose connections are reset is %v", got)
	}
}

// TestTimeoutIsNotALostConnection checks an instance that doesn't answer in time.
func TestTimeoutIsNotALostConnection(t *testing.T) {
	addr := startUpstream(t, func(_ net.Conn, br *bufio.Reader) {
		for {
			if _, _, err := readRequest(br); err != nil {
				return
			}
		}
	})
	r := request("1")
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	p := NewPool(addr, 1, dial, plainInspector{})
	if got := p.Do(t.Context(), r, func() bool { return true }); got.Err == nil || got.ConnectionLost() {
		t.Errorf("the result is %+v", got)
	}
}

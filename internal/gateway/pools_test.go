package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// TestTemporaryConnectionsAreClosed guards against connections that a VM keeps to an
// instance of which it has no share, and against the loss of those in use.
func TestTemporaryConnectionsAreClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	p := NewPools(dial, nil, nil)
	limits := map[string]int{"shared": 1, "unshared": 0}
	upstreams := map[string][]routetable.Upstream{"s": {
		{ID: "shared", Service: "s", Address: l.Addr().String()}, {ID: "unshared", Service: "s", Address: l.Addr().String()},
	}}
	p.Update(upstreams, func(u routetable.Upstream) int { return limits[u.ID] })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, u := range upstreams["s"] {
		if err := p.Get(u).Reconnect(ctx, 0); err != nil {
			t.Fatal(err)
		}
	}
	if open, _, _ := p.Stats(); open != 2 {
		t.Fatalf("%d connections are open", open)
	}
	p.CloseTemporary()
	if open, _, _ := p.Stats(); open != 1 {
		t.Errorf("%d connections are open after the temporary ones were closed", open)
	}
	if err := p.Get(upstreams["s"][1]).Reconnect(ctx, 0); err != nil {
		t.Errorf("a later extra attempt gets no connection: %v", err)
	}
}

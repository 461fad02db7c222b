package servedaemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/settings"
	"ryecourse.example/ryecourse/internal/standin/platform"
)

const anyQuery = `{"query":{"thread":"teal"}}`

// TestReadyMeansServing requires that a single daemon answers its first query once
// it reports readiness. Its subtests use the same daemon.
func TestReadyMeansServing(t *testing.T) {
	t.Parallel()
	n := newTestEnv(t, 4).start("vm-1")
	n.waitReady()
	if status, body := n.query(testKey, anyQuery); status != http.StatusOK {
		t.Fatalf("the first query was answered %d: %s", status, body)
	}
	t.Run("page", func(t *testing.T) { checkAPIPage(t, n) })
	t.Run("keys", func(t *testing.T) { checkNoKeys(t, n) })
	t.Run("pause", func(t *testing.T) { checkPause(t, n) })
	t.Run("shutdown", func(t *testing.T) { checkShutdown(t, n) })
}

// TestPlatformDown makes the platform fail after two daemons have read it, and
// then starts a third. The third gets the configuration and the VM list from its
// peers, and all three serve.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, 2)
	first, second := w.prepare("vm-1"), w.prepare("vm-2")
	late := w.prepare("vm-3", first.peer, second.peer)
	for _, n := range []*testDaemon{first, second} {
		n.run()
		w.waitFor(n.settings.VM+" has a view", func() bool { return n.control.State.View() != nil })
	}
	w.replica.SetFault(platform.Fault{Mode: platform.ModeRefuse}, time.Now())
	late.run()
	for _, n := range []*testDaemon{first, second, late} {
		n.waitReady()
		n.waitAnswer()
	}
}

// TestFailedStartClosesListeners starts a daemon while one of its addresses is
// in use, and requires that the other two are free afterwards.
func TestFailedStartClosesListeners(t *testing.T) {
	w := newTestEnv(t, 1)
	occupied := w.listen()
	defer occupied.Close()
	free := make([]string, 2)
	for i := range free {
		ln := w.listen()
		free[i] = ln.Addr().String()
		_ = ln.Close()
	}
	s := settings.Default()
	s.VM, s.Platform = "vm-1", []string{w.platform}
	s.OperatorListen, s.PeerListen, s.CallerListen = free[0], free[1], occupied.Addr().String()
	d, err := New(&s, io.Discard)
	w.must(err)
	if err := d.Run(t.Context()); err == nil {
		t.Fatal("the daemon ran without its callers' address")
	}
	for _, addr := range free {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Errorf("still in use: %v", err)
			continue
		}
		_ = ln.Close()
	}
}

// TestFailedListenerShutsDown closes a listener of a running daemon and requires
// that the daemon shuts down.
func TestFailedListenerShutsDown(t *testing.T) {
	w := newTestEnv(t, 1)
	s := settings.Default()
	s.VM, s.Platform = "vm-1", []string{w.platform}
	l := listeners{caller: w.listen(), peer: w.listen(), operator: w.listen()}
	s.PeerListen = l.peer.Addr().String()
	d, err := New(&s, io.Discard)
	w.must(err)
	ended := make(chan error, 1)
	go func() { ended <- d.serve(t.Context(), l) }()
	w.waitFor("an answer", func() bool {
		resp, err := http.Get("http://" + l.operator.Addr().String() + "/livez")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	_ = l.peer.Close()
	if err := <-ended; err == nil {
		t.Error("no error")
	}
	for _, ln := range []net.Listener{l.caller, l.operator} {
		if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
			_ = c.Close()
			t.Errorf("%s still listens", ln.Addr())
		}
	}
}

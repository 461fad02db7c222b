package servedaemon

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

// checkPause blocks the control goroutine, as a pause of the process does, until
// callers are refused and the pause is long enough for the disseminator to report
// it. Then the daemon must check for updates and serve again.
func checkPause(t *testing.T, n *testDaemon) {
	before := n.trail.Since(0)
	stopped, release, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		n.control.Call(t.Context(), func(time.Time) { close(stopped); <-release })
	}()
	<-stopped
	began := time.Now()
	n.env.waitFor("refusals", func() bool {
		status, _ := n.query(testKey, anyQuery)
		return status == http.StatusServiceUnavailable
	})
	if ok, _ := n.Ready(); ok {
		t.Error("ready with a stale view")
	}
	n.env.waitFor("a pause that makes the daemon check for updates", func() bool { return time.Since(began) > 2*time.Second })
	close(release)
	<-ended
	n.waitReady()
	n.waitAnswer()
	var kinds []string
	for _, e := range n.trail.Since(before[len(before)-1].Seq) {
		kinds = append(kinds, e.Kind)
	}
	paused, checked := slices.Index(kinds, "process_paused"), slices.Index(kinds, "not_ready")
	if paused < 0 || checked < paused || slices.Index(kinds, "ready") < checked {
		t.Errorf("the audit trail shows %v", kinds)
	}
}

// checkShutdown stops the daemon while a request is running.
func checkShutdown(t *testing.T, n *testDaemon) {
	for _, l := range n.env.leaves {
		n.env.must(l.SetPolicy(func(p *leaf.Policy) error { p.ServiceMS = 1000; return nil }))
	}
	answered := make(chan int, 1)
	go func() {
		status, _ := n.query(testKey, anyQuery)
		answered <- status
	}()
	n.env.waitFor("a running request", func() bool { return n.callers.Running() == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- n.stop() }()
	n.env.waitFor("not ready", func() bool { ok, _ := n.Ready(); return !ok })
	// On a slow machine the listener may already be closed.
	resp, err := http.Post("http://"+n.caller+"/v1/services/proof-studio/query", "application/json", http.NoBody)
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a request while draining: %d", resp.StatusCode)
		}
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("the running request was answered %d", status)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	for _, addr := range []string{n.caller, n.operator, n.peer} {
		if c, err := net.Dial("tcp", addr); err == nil {
			_ = c.Close()
			t.Errorf("%s still listens", addr)
		}
	}
}

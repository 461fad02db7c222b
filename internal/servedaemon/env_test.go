package servedaemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/keys"
	"ryecourse.example/ryecourse/internal/settings"
	"ryecourse.example/ryecourse/internal/standin/leaf"
	"ryecourse.example/ryecourse/internal/standin/platform"
)

const (
	// testKey is the API key of the customer in the test configuration.
	testKey = "rye_key-of-the-test-customer-0123456789abcdef"
	// waitTimeout bounds every wait. Tests poll for states and don't depend on
	// timing otherwise.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// testEnv is a platform and upstreams on loopback ports for daemons under test.
type testEnv struct {
	t        *testing.T
	dir      string
	store    *platform.Store
	replica  *platform.Replica
	platform string
	leaves   []*leaf.Leaf
	vms      []platform.VM
}

func newTestEnv(t *testing.T, shards int) *testEnv {
	t.Helper()
	w := &testEnv{t: t, dir: t.TempDir()}
	w.writeService(shards)
	w.write("10-zones.json", map[string]any{"zones": map[string]any{"cz-a": map[string]bool{"out": false}}})
	w.write("30-customer.json", map[string]any{"customers": map[string]any{"buyers": map[string]any{
		"rate": 1000, "burst": 1000, "key_hashes": []string{keys.Hash(testKey)},
	}}})
	w.writeVMs()
	var err error
	w.store, err = platform.NewStore(w.dir, w.vmsFile(), 1, time.Now())
	w.must(err)
	w.replica = platform.NewReplica(w.store)
	ln := w.listen()
	server := &fasthttp.Server{Handler: w.replica.Handler(), CloseOnShutdown: true}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	w.platform = "http://" + ln.Addr().String()
	return w
}

func (w *testEnv) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *testEnv) listen() net.Listener {
	w.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	return ln
}

func (w *testEnv) vmsFile() string { return filepath.Join(w.dir, "vms.list") }

func (w *testEnv) write(name string, v any) {
	w.t.Helper()
	content, err := json.Marshal(v)
	w.must(err)
	w.must(os.WriteFile(filepath.Join(w.dir, name), content, 0o644))
}

func (w *testEnv) writeVMs() {
	w.t.Helper()
	w.write(filepath.Base(w.vmsFile()), map[string]any{"vms": w.vms})
}

// writeService starts an upstream for each shard and writes the service file that
// lists them.
func (w *testEnv) writeService(shards int) {
	w.t.Helper()
	var layout []any
	for shard := range shards {
		id := fmt.Sprintf("proof-studio-%d", shard)
		addr := w.startLeaf(id, shard, shards)
		layout = append(layout, []any{map[string]any{"id": id, "address": addr, "zone": "cz-a"}})
	}
	w.write("20-service.json", map[string]any{"services": map[string]any{"proof-studio": map[string]any{
		"shards": layout, "slots": 12, "connections": 60, "cold_permits": 6, "deadline_ms": 2000, "idempotent": true, "snapshots": true,
	}}})
}

// startLeaf starts an upstream on a free port. It retries because another process
// may bind the port after it was found free.
func (w *testEnv) startLeaf(id string, shard, shards int) string {
	w.t.Helper()
	var err error
	for range 10 {
		ln := w.listen()
		addr := ln.Addr().String()
		_ = ln.Close()
		l := leaf.New(leaf.Config{
			ID: id, Address: addr, Zone: "cz-a", Service: "proof-studio", Shard: shard,
			Snapshots: []leaf.Snapshot{{ID: "s7", Shards: shards}},
			Policy:    leaf.Policy{Slots: 12, Queue: 3, Connections: 60, ServiceMS: 1, MaxSnapshots: 1, ColdPermits: 6},
			Secrets:   []string{testKey}, AttemptLogLimit: 100,
		})
		if err = l.Start(); err == nil {
			w.leaves = append(w.leaves, l)
			w.t.Cleanup(l.Crash)
			return addr
		}
	}
	w.t.Fatal(err)
	return ""
}

// testDaemon is a daemon under test with its addresses and its log.
type testDaemon struct {
	*Daemon
	env       *testEnv
	caller    string
	operator  string
	peer      string
	logOutput *logBuffer
	stop      func() error

	listeners listeners
}

// logBuffer collects the log of a daemon. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *logBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *logBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// start adds a VM to the list and runs its daemon.
func (w *testEnv) start(vm string) *testDaemon {
	w.t.Helper()
	n := w.prepare(vm)
	n.run()
	return n
}

// prepare adds a VM to the list and builds its daemon without running it. The
// seeds are addresses of peers.
func (w *testEnv) prepare(vm string, seeds ...string) *testDaemon {
	w.t.Helper()
	l := listeners{caller: w.listen(), peer: w.listen(), operator: w.listen()}
	s := settings.Default()
	s.Fleet, s.FleetSecret, s.VM, s.Zone = "cz", "a-secret-of-the-fleet", vm, "cz-a"
	s.PeerListen = l.peer.Addr().String()
	s.Platform, s.Seeds, s.LogLevel = []string{w.platform}, seeds, "debug"
	n := &testDaemon{
		env: w, logOutput: &logBuffer{}, listeners: l,
		caller: l.caller.Addr().String(), operator: l.operator.Addr().String(), peer: s.PeerListen,
	}
	w.vms = append(w.vms, platform.VM{ID: vm, Zone: s.Zone, PeerAddress: n.peer, State: "live"})
	w.writeVMs()
	w.must(w.store.Poll(time.Now()))
	var err error
	n.Daemon, err = New(&s, n.logOutput)
	w.must(err)
	w.t.Cleanup(l.close)
	return n
}

func (n *testDaemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.serve(ctx, n.listeners) }()
	n.stop = sync.OnceValue(func() error { cancel(); return <-ended })
	n.env.t.Cleanup(func() { _ = n.stop() })
}

// waitFor polls until the condition holds.
func (w *testEnv) waitFor(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			w.t.Fatalf("not reached: %s", what)
		}
	}
}

func (n *testDaemon) waitReady() {
	n.env.t.Helper()
	n.env.waitFor(n.settings.VM+" is ready", func() bool {
		status, _ := n.get("/readyz")
		return status == http.StatusOK
	})
}

// waitAnswer repeats a query until it is answered: upstreams start cold, and the
// first queries may be refused.
func (n *testDaemon) waitAnswer() {
	n.env.t.Helper()
	n.env.waitFor(n.settings.VM+" answers", func() bool {
		status, _ := n.query(testKey, anyQuery)
		return status == http.StatusOK
	})
}

func (n *testDaemon) get(path string) (int, []byte) {
	n.env.t.Helper()
	status, body, err := fasthttp.GetTimeout(nil, "http://"+n.operator+path, waitTimeout)
	n.env.must(err)
	return status, body
}

// query sends a query with the key in the Authorization header.
func (n *testDaemon) query(key, body string) (int, []byte) {
	n.env.t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + n.caller + "/v1/services/proof-studio/query")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Authorization", "Bearer "+key)
	req.SetBodyString(body)
	n.env.must(fasthttp.DoTimeout(req, resp, waitTimeout))
	return resp.StatusCode(), bytes.Clone(resp.Body())
}

package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/reachability"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
)

// laggingMetadata has the newer view once a read was requested.
type laggingMetadata struct {
	older, newer *metadata.View
	refreshed    atomic.Bool
}

func (m *laggingMetadata) Age() time.Duration { return 0 }
func (m *laggingMetadata) Refresh()           { m.refreshed.Store(true) }
func (m *laggingMetadata) View() *metadata.View {
	if m.refreshed.Load() {
		return m.newer
	}
	return m.older
}

// versionHelper is the only helper. It runs requests of the route that its configuration has.
type versionHelper struct {
	Executors
	route   routetable.Route
	ran     int
	avoided bool
}

func (h *versionHelper) Helpers(time.Time) []string { return []string{"0"} }
func (h *versionHelper) Avoid(time.Time, string)    { h.avoided = true }

func (h *versionHelper) Accept(_ context.Context, _ string, r *executor.Request, _ time.Duration) error {
	if r.ExecutionFingerprint != h.route.ExecutionFingerprint() {
		return &RejectedError{Reason: rejectedOtherVersion}
	}
	return nil
}

func (h *versionHelper) Execute(context.Context, string, *executor.Request) (executor.Result, error) {
	h.ran++
	return executor.Result{Status: http.StatusOK, Headers: []executor.Header{{Name: "Signature", Value: "s"}}}, nil
}

// versionHeaders implements what handing over needs of Headers.
type versionHeaders struct{ retryAfterHeaders }

func (versionHeaders) AppendRequest(dst []byte, _ *http.Request, _ string) []byte { return dst }

// isolatedTracker returns the tracker of a VM that reaches no upstream.
func isolatedTracker(t *testing.T) *reachability.Tracker {
	t.Helper()
	start := time.Now().Add(-10 * time.Second)
	tracker := reachability.NewTracker(reachability.DefaultPolicy(), start, func(reachability.Change) {})
	tracker.SetInstances(1)
	tracker.Sent(start, "i-0")
	for i := range 5 {
		tracker.Tick(start.Add(time.Duration(i+1) * 200 * time.Millisecond))
	}
	if tracker.State() != reachability.Isolated {
		t.Fatalf("the VM is %v", tracker.State())
	}
	return tracker
}

// TestIsolatedVMReadsTheNewVersion guards against requests of an isolated VM that fail until its
// next regular read of the store, as all other VMs have a newer version of their route.
func TestIsolatedVMReadsTheNewVersion(t *testing.T) {
	moved := changedRoute(func(r *routetable.Route) { r.Targets[0].Service = "c" })
	for name, test := range map[string]struct {
		newer  []routetable.Route // what the VM reads
		status int
		ran    int
	}{
		"newer version":         {[]routetable.Route{moved}, http.StatusOK, 1},
		"route removed":         {nil, http.StatusNotFound, 0},
		"still another version": {[]routetable.Route{oldRoute()}, http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			view := func(version int64, routes []routetable.Route) *metadata.View {
				return &metadata.View{Table: routetable.NewTable(routetable.Config{Version: version, Routes: routes})}
			}
			helper := &versionHelper{route: moved}
			g := &Gateway{
				drain: newDrain(), headers: versionHeaders{}, executors: helper, metrics: NewMetrics(metrics.NewSet()), log: eventlog.New(io.Discard, "vm"),
				metadata: &laggingMetadata{older: view(5, []routetable.Route{oldRoute()}), newer: view(6, test.newer)}, quarantine: noQuarantine{},
				reachable: isolatedTracker(t), policy: Policy{DefaultTimeout: time.Minute, MaxKeyStaleness: time.Minute},
			}
			r := httptest.NewRequest(http.MethodGet, testPath, nil)
			r.Host = testHost
			in := &incoming{started: time.Now()}
			if refused := g.readmit(in, r); refused != nil {
				t.Fatalf("refused with %v", refused.reason)
			}
			w := httptest.NewRecorder()
			if !g.forwardElsewhere(in, w, r) || w.Code != test.status || helper.ran != test.ran {
				t.Errorf("status %d, %d runs, want %d and %d", w.Code, helper.ran, test.status, test.ran)
			}
			if helper.avoided {
				t.Error("the helper is avoided, although it rejects only some routes")
			}
		})
	}
}

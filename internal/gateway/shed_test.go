package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/loadshed"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/reachability"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
)

// shedHeaders implements what forwarding to executors needs of Headers.
type shedHeaders struct {
	Headers
	retryAfter time.Duration
}

func (h *shedHeaders) AppendRequest(dst []byte, _ *http.Request, _ string) []byte { return dst }

func (h *shedHeaders) WriteRetryAfter(_ http.Header, d time.Duration) { h.retryAfter = d }

// rejectingExecutors reject each request with the error of its executor.
type rejectingExecutors struct {
	errs    []error
	asked   int
	avoided []string
}

func (e *rejectingExecutors) Candidates(time.Time, map[string]bool) []string {
	return []string{"0", "1", "2"}[:len(e.errs)]
}
func (e *rejectingExecutors) Helpers(time.Time) []string { return nil }
func (e *rejectingExecutors) Avoid(_ time.Time, address string) {
	e.avoided = append(e.avoided, address)
}

func (e *rejectingExecutors) Accept(_ context.Context, address string, _ *executor.Request, _ time.Duration) error {
	e.asked++
	return e.errs[address[0]-'0']
}

func (e *rejectingExecutors) Execute(context.Context, string, *executor.Request) (executor.Result, error) {
	return executor.Result{}, errors.New("nothing was accepted")
}

// TestRejectionBecauseOfLoadIsFinal guards against queries that executors reject under
// overload and that small VMs then run over new connections, which takes slots of the
// upstreams. Such a query gets 503 with the executor's Retry-After, after one other
// executor at most, and the executors are asked again for the next.
func TestRejectionBecauseOfLoadIsFinal(t *testing.T) {
	overloaded := &RejectedError{Reason: string(ReasonOverloaded), RetryAfter: 170 * time.Millisecond}
	busy := &RejectedError{Reason: rejectedBusy} // also of a build without Retry-After
	lost := errors.New("connection refused")
	for name, test := range map[string]struct {
		errs       []error
		asked      int
		handled    bool
		retryAfter time.Duration
		avoided    []string
	}{
		"overloaded":                {[]error{overloaded, busy}, 1, true, 170 * time.Millisecond, nil},
		"busy, then overloaded":     {[]error{busy, overloaded}, 2, true, 170 * time.Millisecond, nil},
		"busy everywhere":           {[]error{busy, busy}, 2, true, busyRetryAfter, nil},
		"lost, then busy":           {[]error{lost, busy}, 2, true, busyRetryAfter, []string{"0"}},
		"lost everywhere":           {[]error{lost, lost}, 2, false, 0, []string{"0", "1"}},
		"stopping, then isolated":   {[]error{&RejectedError{Reason: rejectedStopping}, &RejectedError{Reason: rejectedIsolated}}, 2, false, 0, []string{"0", "1"}},
		"another version of routes": {[]error{&RejectedError{Reason: rejectedOtherVersion}}, 1, false, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h, e := &shedHeaders{}, &rejectingExecutors{errs: test.errs}
			g := &Gateway{
				drain:   newDrain(),
				headers: h, executors: e, metrics: NewMetrics(metrics.NewSet()), log: eventlog.New(io.Discard, "vm"),
				reachable: reachability.NewTracker(reachability.DefaultPolicy(), time.Now(), func(reachability.Change) {}),
				policy:    Policy{DefaultTimeout: time.Second},
			}
			route := &routetable.Route{Name: "r", Objective: 100 * time.Millisecond, Sharded: &routetable.Sharded{Shards: []string{"s"}}}
			in := &incoming{started: time.Now(), route: route, view: &metadata.View{Table: routetable.NewTable(routetable.Config{})}}
			w := httptest.NewRecorder()
			handled := g.forwardElsewhere(in, w, httptest.NewRequest(http.MethodGet, "/", nil))
			if handled != test.handled || e.asked != test.asked || !slices.Equal(e.avoided, test.avoided) {
				t.Errorf("handled %v, %d executors asked, %v avoided", handled, e.asked, e.avoided)
			}
			if handled && (w.Code != http.StatusServiceUnavailable || h.retryAfter != test.retryAfter) {
				t.Errorf("status %d with Retry-After %v, want %v", w.Code, h.retryAfter, test.retryAfter)
			}
		})
	}
}

// fullLoads states that requests wait for twice the tolerated time at each service.
type fullLoads struct{}

func (fullLoads) Pressure(_ time.Time, services []string, dst []placement.Pressure) []placement.Pressure {
	dst = dst[:0]
	for range services {
		dst = append(dst, placement.Pressure{Usable: 1, Known: 1, PerSlot: 4, Wait: 30 * time.Millisecond})
	}
	return dst
}

// TestExecutorRejectsUnderOverload checks what an executor decides about before it accepts
// a query, and that the customer's priority replaces that of the route.
func TestExecutorRejectsUnderOverload(t *testing.T) {
	urgent := 0
	route := routetable.Route{Name: "r", Objective: 100 * time.Millisecond, Priority: 3, Sharded: &routetable.Sharded{Shards: []string{"s"}, MinShare: 1}}
	table := routetable.NewTable(routetable.Config{
		Routes:    []routetable.Route{route},
		Customers: []routetable.Customer{{Name: "urgent", Priority: &urgent}, {Name: "usual"}},
	})
	g := &Gateway{
		drain:    newDrain(),
		metadata: fixedMetadata{&metadata.View{Table: table}}, quarantine: noQuarantine{},
		metrics: NewMetrics(metrics.NewSet()), log: eventlog.New(io.Discard, "vm"), policy: Policy{MaxKeyStaleness: time.Minute},
		reachable: reachability.NewTracker(reachability.DefaultPolicy(), time.Now(), func(reachability.Change) {}),
		shedder:   loadshed.New(fullLoads{}, rand.New(rand.NewPCG(1, 2))),
	}
	customers := []string{"urgent", "usual", "usual", "usual", "usual", "usual"}
	now := time.Now()
	for at := now.Add(-400 * time.Millisecond); at.Before(now); at = at.Add(time.Millisecond) {
		for _, customer := range customers {
			in := g.remoteIncoming(&executor.Request{})
			in.route, in.customer = &route, table.CustomerByName(customer)
			g.shedder.Decide(at, g.shedRequest(in))
		}
	}
	rejected := map[string]int{}
	const rounds = 40
	for range rounds {
		for _, customer := range customers {
			err := g.AcceptQuery(&executor.Request{ID: "id", Route: "r", RouteFingerprint: route.Fingerprint(), Customer: customer})
			var r *RejectedError
			if !errors.As(err, &r) {
				continue
			}
			rejected[customer]++
			if r.Reason != string(ReasonOverloaded) || r.RetryAfter <= 0 {
				t.Fatalf("rejected with %+v", r)
			}
		}
	}
	if rejected["urgent"] > 0 || rejected["usual"] < rounds {
		t.Errorf("rejected are %v", rejected)
	}
}

type fixedMetadata struct{ view *metadata.View }

func (m fixedMetadata) View() *metadata.View { return m.view }
func (m fixedMetadata) Age() time.Duration   { return 0 }
func (m fixedMetadata) Refresh()             {}

type noQuarantine struct{ Quarantine }

func (noQuarantine) Quarantined(time.Duration, uint64) (time.Duration, bool) { return 0, false }

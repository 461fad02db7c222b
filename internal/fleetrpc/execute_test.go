package fleetrpc

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/eventlog"
	"ryecourse.example/ryecourse/internal/gateway"
)

// runnerFunc implements QueryRunner. It accepts all queries.
type runnerFunc func(ctx context.Context, r *executor.Request) (executor.Result, error)

// AcceptsQueries implements QueryRunner.
func (runnerFunc) AcceptsQueries() bool { return true }

// AcceptQuery implements QueryRunner.
func (runnerFunc) AcceptQuery(*executor.Request) error { return nil }

// RunQuery implements QueryRunner.
func (f runnerFunc) RunQuery(ctx context.Context, r *executor.Request) (executor.Result, error) {
	return f(ctx, r)
}

// acceptFunc implements QueryRunner. It runs nothing.
type acceptFunc func(r *executor.Request) error

// AcceptsQueries implements QueryRunner.
func (acceptFunc) AcceptsQueries() bool { return true }

// AcceptQuery implements QueryRunner.
func (f acceptFunc) AcceptQuery(r *executor.Request) error { return f(r) }

// RunQuery implements QueryRunner.
func (f acceptFunc) RunQuery(context.Context, *executor.Request) (executor.Result, error) {
	return executor.Result{}, errors.New("not called")
}

func newExchanger(address string) *Exchanger {
	return New(fleet.Report{Address: address, Zone: "z", Incarnation: 1}, nil, nil,
		&fakeUsage{received: map[string]fleet.Report{}}, fakeLimits{}, newSuspects(), eventlog.New(io.Discard, address), func(Size) {})
}

// startExecutor serves queries with the runner. The returned function resets all
// connections.
func startExecutor(t *testing.T, r QueryRunner) (address string, kill func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := newExchanger(l.Addr().String())
	e.SetQueryRunner(r)
	mux := http.NewServeMux()
	mux.Handle(e.Handler())
	srv := &http.Server{Handler: mux}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String(), func() { srv.Close() }
}

var sampleQuery = executor.Request{
	ID: "id-1", Route: "r", RouteFingerprint: 1 << 60, ExecutionFingerprint: 1 << 61, Customer: "shop", KeyDigest: 1 << 62, Method: "GET", Head: []byte("GET /x HTTP/1.1\r\n"),
	Body: []byte("b"), Fingerprint: 1 << 50, SoftTimeout: 100 * time.Millisecond, Timeout: 5 * time.Second,
	ConfigVersion: 1 << 40, MaxRuns: 2, HandedOver: true,
}

const testAcceptTimeout = 2 * time.Second

func TestExecuteReturnsTheResult(t *testing.T) {
	want := executor.Result{
		Body: []byte("records"), Signatures: []string{"s1", "s2"}, Missing: []string{"m"},
		Status: 201, Headers: []executor.Header{{Name: "A", Value: "1"}, {Name: "A", Value: "2"}}, Upstreams: []string{"u1"},
		Answered: 2, Attempts: 4, Hedges: 1, DeniedByBudget: 3, WithoutUpstream: 5, AtLimit: 6, LastError: "e",
		RetryAfter: 70 * time.Millisecond,
	}
	addr, _ := startExecutor(t, runnerFunc(func(_ context.Context, r *executor.Request) (executor.Result, error) {
		if !reflect.DeepEqual(*r, sampleQuery) {
			t.Errorf("the query is %+v", *r)
		}
		return want, nil
	}))
	q := sampleQuery
	got, err := newExchanger("127.0.0.1:1").Execute(t.Context(), addr, &q)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the result is %+v (%v), want %+v", got, err, want)
	}
}

// TestExecuteThatFails checks what the sender may conclude.
func TestExecuteThatFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := l.Addr().String()
	l.Close()
	rejecting, _ := startExecutor(t, runnerFunc(func(context.Context, *executor.Request) (executor.Result, error) {
		return executor.Result{}, &gateway.RejectedError{Reason: "stopping"}
	}))
	var killRunning func()
	running, killRunning := startExecutor(t, runnerFunc(func(ctx context.Context, _ *executor.Request) (executor.Result, error) {
		killRunning()
		<-ctx.Done()
		return executor.Result{}, ctx.Err()
	}))
	panicking, _ := startExecutor(t, runnerFunc(func(context.Context, *executor.Request) (executor.Result, error) {
		panic(http.ErrAbortHandler)
	}))
	for name, test := range map[string]struct {
		address string
		notRun  bool
	}{
		"connection refused":        {refused, true},
		"rejected":                  {rejecting, true},
		"killed while it runs":      {running, false},
		"handler ends with a panic": {panicking, false},
	} {
		t.Run(name, func(t *testing.T) {
			q := sampleQuery
			_, err := newExchanger("127.0.0.1:1").Execute(t.Context(), test.address, &q)
			var failure *gateway.ExecuteError
			if !errors.As(err, &failure) || failure.NotRun != test.notRun {
				t.Errorf("the error is %+v, want not run %v", err, test.notRun)
			}
		})
	}
}

func TestAccept(t *testing.T) {
	accepting, _ := startExecutor(t, acceptFunc(func(r *executor.Request) error {
		want := executor.Request{
			ID: sampleQuery.ID, Route: sampleQuery.Route,
			RouteFingerprint: sampleQuery.RouteFingerprint, ExecutionFingerprint: sampleQuery.ExecutionFingerprint, ConfigVersion: sampleQuery.ConfigVersion,
			Customer: sampleQuery.Customer, KeyDigest: sampleQuery.KeyDigest, Host: "h.example", Path: "/x", Late: true,
		}
		if !reflect.DeepEqual(*r, want) {
			t.Errorf("asked for %+v, want %+v", *r, want)
		}
		return nil
	}))
	rejecting, _ := startExecutor(t, acceptFunc(func(*executor.Request) error {
		return &gateway.RejectedError{Reason: "overloaded", RetryAfter: 150 * time.Millisecond}
	}))
	release := make(chan struct{})
	silent, _ := startExecutor(t, acceptFunc(func(*executor.Request) error {
		<-release
		return nil
	}))
	defer close(release)
	e, q := newExchanger("127.0.0.1:1"), sampleQuery
	q.Late, q.Host, q.Path = true, "h.example", "/x"
	if err := e.Accept(t.Context(), accepting, &q, testAcceptTimeout); err != nil {
		t.Errorf("not accepted: %v", err)
	}
	var rejected *gateway.RejectedError
	if err := e.Accept(t.Context(), rejecting, &q, testAcceptTimeout); !errors.As(err, &rejected) || rejected.Reason != "overloaded" || rejected.RetryAfter != 150*time.Millisecond {
		t.Errorf("the error is %+v, want the rejection", err)
	}
	if err := e.Accept(t.Context(), silent, &q, 20*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the error is %v, want a timeout", err)
	}
}

func TestExecuteThatIsCanceledCancelsTheQuery(t *testing.T) {
	running, canceled := make(chan struct{}), make(chan struct{})
	addr, _ := startExecutor(t, runnerFunc(func(ctx context.Context, _ *executor.Request) (executor.Result, error) {
		close(running)
		<-ctx.Done()
		close(canceled)
		return executor.Result{}, ctx.Err()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-running
		cancel()
	}()
	q := sampleQuery
	if _, err := newExchanger("127.0.0.1:1").Execute(ctx, addr, &q); err == nil {
		t.Error("a canceled call has a result")
	}
	select {
	case <-canceled:
	case <-time.After(10 * time.Second):
		t.Error("the executor didn't cancel the query")
	}
}

// TestVersionsOnTheWire guards against an older build that runs a request by the name of its
// route: it compares fingerprints only if its own configuration has a lower version than stated.
func TestVersionsOnTheWire(t *testing.T) {
	m := encodeQuery(&sampleQuery)
	if m.ConfigVersion != math.MaxInt64 {
		t.Errorf("an older build gets version %d", m.ConfigVersion)
	}
	m.SenderConfigVersion, m.ConfigVersion = 0, 7 // of an older build
	if got := decodeQuery(m).ConfigVersion; got != 7 {
		t.Errorf("the version of an older build is %d, want 7", got)
	}
}

package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// sink collects results.
type sink chan scatter.Result

func (s sink) Deliver(r scatter.Result) { s <- r }

// fakeUpstream passes every connection to the test.
type fakeUpstream struct {
	ln    net.Listener
	conns chan net.Conn
}

func newFake(t *testing.T) *fakeUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeUpstream{ln: ln, conns: make(chan net.Conn, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.conns <- c
		}
	}()
	return f
}

func (f *fakeUpstream) addr() string { return f.ln.Addr().String() }

// receive reads one request from a connection.
func receive(t *testing.T, c net.Conn) *fasthttp.Request {
	t.Helper()
	req := &fasthttp.Request{}
	if err := req.Read(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return req
}

// reply responds to a request; change edits the response first.
func reply(t *testing.T, c net.Conn, req *fasthttp.Request, change func(*fasthttp.Response)) {
	t.Helper()
	var resp fasthttp.Response
	for _, name := range []string{headerAttempt, headerService, headerShard} {
		resp.Header.SetBytesV(name, req.Header.Peek(name))
	}
	resp.Header.Set(headerSnapshot, "s1")
	resp.Header.Set(headerSnapshotShards, "4")
	resp.SetBodyString(`{"hits":[1]}`)
	if change != nil {
		change(&resp)
	}
	w := bufio.NewWriter(c)
	if err := resp.Write(w); err != nil {
		t.Fatal(err)
	}
	w.Flush()
}

func newPool(t *testing.T, addr string, limit int) *Pool {
	p := NewPool(nil)
	p.SetLimits([]Limit{{Address: addr, Max: limit}})
	t.Cleanup(p.Close)
	return p
}

func newCall(addr string, id int, s Sink) *Call {
	return &Call{
		Attempt: scatter.Attempt{
			ID: id, Shard: 2, Target: scatter.Target{Address: addr},
			PickedAt: time.Now(), Deadline: time.Now().Add(time.Minute),
		},
		AttemptID: fmt.Sprintf("w-%d", id),
		Service:   "svc",
		Body:      []byte(`{}`),
		Sink:      s,
	}
}

// newTrial returns a trial request to an upstream that was picked as cold.
func newTrial(addr string, id int, s Sink) *Call {
	c := newCall(addr, id, s)
	c.Attempt.Target.Trial = true
	return c
}

func expectResult(t *testing.T, r scatter.Result, o scatter.Outcome, v verdict.Verdict) {
	t.Helper()
	if r.Report.Outcome != o || r.Verdict != v {
		t.Fatalf("outcome %d, verdict %s; want outcome %d, verdict %s", r.Report.Outcome, r.Verdict, o, v)
	}
}

func TestAnswerAndReuse(t *testing.T) {
	f, s := newFake(t), make(sink, 4)
	p := newPool(t, f.addr(), 1)
	p.Start(newCall(f.addr(), 1, s))
	c := <-f.conns
	reply(t, c, receive(t, c), nil)
	r := <-s
	expectResult(t, r, scatter.OutcomeAnswered, verdict.Ran)
	if r.Snapshot != (scatter.SnapshotInfo{ID: "s1", Shards: 4}) || string(r.Body) != `{"hits":[1]}` {
		t.Fatalf("answer %+v", r)
	}
	p.Start(newCall(f.addr(), 2, s))
	reply(t, c, receive(t, c), nil) // on the same connection
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
	if n := p.Stats.Dials.Load(); n != 1 {
		t.Fatalf("%d connections opened", n)
	}
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		change   func(*fasthttp.Response)
		outcome  scatter.Outcome
		verdict  verdict.Verdict
		reusable bool
	}{
		{"other attempt", func(r *fasthttp.Response) { r.Header.Set(headerAttempt, "w-9") }, scatter.OutcomeMismatch, verdict.MayHaveRun, false},
		{"other shard", func(r *fasthttp.Response) { r.Header.Set(headerShard, "1") }, scatter.OutcomeMismatch, verdict.MayHaveRun, false},
		{"other service", func(r *fasthttp.Response) { r.Header.Set(headerService, "x") }, scatter.OutcomeMismatch, verdict.MayHaveRun, false},
		{"not JSON", func(r *fasthttp.Response) { r.SetBodyString(`{"hits":`) }, scatter.OutcomeFailed, verdict.Ran, true},
		{"shed before it ran", func(r *fasthttp.Response) { r.SetStatusCode(503); r.Header.Set(headerNotRun, "1") }, scatter.OutcomeShed, verdict.NotRun, true},
		{"shed in mid-run", func(r *fasthttp.Response) { r.SetStatusCode(503) }, scatter.OutcomeShed, verdict.MayHaveRun, true},
		{"draining", func(r *fasthttp.Response) {
			r.SetStatusCode(503)
			r.Header.Set(headerNotRun, "1")
			r.Header.Set(headerDraining, "1")
		}, scatter.OutcomeDraining, verdict.NotRun, true},
		{"failed", func(r *fasthttp.Response) { r.SetStatusCode(500) }, scatter.OutcomeFailed, verdict.MayHaveRun, true},
		{"lacks the snapshot", func(r *fasthttp.Response) {
			r.SetStatusCode(409)
			r.Header.Set(headerNotRun, "1")
			r.Header.Set(headerSnapshots, "s2:8, s1:4,bad")
		}, scatter.OutcomeSnapshotMissing, verdict.NotRun, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, s := newFake(t), make(sink, 4)
			p := newPool(t, f.addr(), 1)
			p.Start(newCall(f.addr(), 1, s))
			c := <-f.conns
			reply(t, c, receive(t, c), tc.change)
			r := <-s
			expectResult(t, r, tc.outcome, tc.verdict)
			if tc.outcome == scatter.OutcomeSnapshotMissing && len(r.Held) != 2 {
				t.Fatalf("held snapshots %v", r.Held)
			}
			p.Start(newCall(f.addr(), 2, s))
			if !tc.reusable {
				c = <-f.conns // a new connection
			}
			reply(t, c, receive(t, c), nil)
			expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
		})
	}
}

func TestShortAnswerIsDiscarded(t *testing.T) {
	f, s := newFake(t), make(sink, 1)
	p := newPool(t, f.addr(), 1)
	p.Start(newCall(f.addr(), 1, s))
	c := <-f.conns
	receive(t, c)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: w-1\r\nX-Service: svc\r\nX-Shard: 2\r\nContent-Length: 100\r\n\r\n{}")
	c.Close()
	expectResult(t, <-s, scatter.OutcomeConnectionLost, verdict.MayHaveRun)
}

func TestConnectRefusedIsNotRun(t *testing.T) {
	f, s := newFake(t), make(sink, 1)
	f.ln.Close()
	p := newPool(t, f.addr(), 1)
	p.Start(newCall(f.addr(), 1, s))
	expectResult(t, <-s, scatter.OutcomeConnectFailed, verdict.NotRun)
}

func TestCancelClosesTheConnection(t *testing.T) {
	f, s := newFake(t), make(sink, 1)
	p := newPool(t, f.addr(), 1)
	call := newCall(f.addr(), 1, s)
	p.Start(call)
	c := <-f.conns
	receive(t, c)
	call.Cancel()
	expectResult(t, <-s, scatter.OutcomeCanceled, verdict.MayHaveRun)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection is still open")
	}
}

func TestCancelWhileWaitingIsNotRun(t *testing.T) {
	f, s := newFake(t), make(sink, 2)
	p := newPool(t, f.addr(), 1)
	p.Start(newCall(f.addr(), 1, s))
	c := <-f.conns
	req := receive(t, c)
	second := newCall(f.addr(), 2, s)
	p.Start(second)
	second.Cancel()
	expectResult(t, <-s, scatter.OutcomeCanceled, verdict.NotRun)
	reply(t, c, req, nil)
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
}

// TestLimitHolds starts more calls than the pool may open connections. Each call
// must be answered, over no more connections than the limit.
func TestLimitHolds(t *testing.T) {
	const calls, limit = 20, 3
	f, s := newFake(t), make(sink, calls)
	p := newPool(t, f.addr(), limit)
	for i := range calls {
		p.Start(newCall(f.addr(), i, s))
	}
	for range limit {
		go serveAll(<-f.conns)
	}
	for range calls {
		expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
	}
	if n := p.Stats.Dials.Load(); n > limit {
		t.Fatalf("%d connections opened, the limit is %d", n, limit)
	}
}

func serveAll(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(br) != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Service: svc\r\nX-Shard: 2\r\nContent-Length: 2\r\n\r\n{}", req.Header.Peek(headerAttempt))
	}
}

// TestClosedIdleConnectionIsNotUsed has the upstream close an idle connection.
// The next call, which must not be sent twice, must use a new one.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	f, s := newFake(t), make(sink, 2)
	p := newPool(t, f.addr(), 2)
	p.Start(newCall(f.addr(), 1, s))
	c := <-f.conns
	reply(t, c, receive(t, c), nil)
	<-s
	c.Close()
	awaitNoConnection(p, f.addr())
	p.Start(newCall(f.addr(), 2, s))
	c = <-f.conns
	reply(t, c, receive(t, c), nil)
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
}

// awaitNoConnection waits until the reader has closed the connection.
func awaitNoConnection(p *Pool, addr string) {
	for p.Connections(addr) != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestBytesWithoutRequest has the upstream respond twice to one request. The
// connection must be closed and the next call use a new one.
func TestBytesWithoutRequest(t *testing.T) {
	f, s := newFake(t), make(sink, 2)
	p := newPool(t, f.addr(), 1)
	p.Start(newCall(f.addr(), 1, s))
	c := <-f.conns
	req := receive(t, c)
	reply(t, c, req, nil)
	reply(t, c, req, nil) // a duplicate of the response
	<-s
	awaitNoConnection(p, f.addr())
	p.Start(newCall(f.addr(), 2, s))
	c2 := <-f.conns
	reply(t, c2, receive(t, c2), nil)
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
}

func TestZeroLimitOpensNoConnection(t *testing.T) {
	f, s := newFake(t), make(sink, 1)
	p := newPool(t, f.addr(), 0)
	p.Start(newCall(f.addr(), 1, s))
	expectResult(t, <-s, scatter.OutcomeCanceled, verdict.NotRun)
}

// TestLossOfTheLastConnectionIsReported has the upstream close two connections
// in turn; only the loss of the second one is reported. A last connection that
// this side closes is not reported.
func TestLossOfTheLastConnectionIsReported(t *testing.T) {
	f, s := newFake(t), make(sink, 4)
	lost := make(chan string, 4)
	p := NewPool(func(addr string) { lost <- addr })
	t.Cleanup(p.Close)
	p.SetLimits([]Limit{{Address: f.addr(), Max: 2}})
	p.Start(newTrial(f.addr(), 1, s))
	p.Start(newTrial(f.addr(), 2, s))
	a, b := <-f.conns, <-f.conns
	receive(t, a) // both connections are open and in use
	receive(t, b)
	a.Close()
	<-s
	if len(lost) != 0 {
		t.Fatal("reported while a connection was open")
	}
	b.Close()
	<-s
	if got := <-lost; got != f.addr() {
		t.Fatalf("reported the loss of %s", got)
	}
	call := newTrial(f.addr(), 3, s)
	p.Start(call)
	receive(t, <-f.conns)
	call.Cancel()
	expectResult(t, <-s, scatter.OutcomeCanceled, verdict.MayHaveRun)
	awaitNoConnection(p, f.addr())
	if len(lost) != 0 {
		t.Fatal("reported a connection that this side closed")
	}
}

// TestCallPickedBeforeARestart restarts the upstream after the replica was
// picked and before the call is sent. The call must not reach the new process.
func TestCallPickedBeforeARestart(t *testing.T) {
	f, s := newFake(t), make(sink, 4)
	p := newPool(t, f.addr(), 1)
	p.Start(newCall(f.addr(), 1, s))
	c := <-f.conns
	req := receive(t, c)
	late := newCall(f.addr(), 2, s) // picked now, sent after the restart
	waiting := newCall(f.addr(), 3, s)
	p.Start(waiting)
	reply(t, c, req, nil)
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
	receive(t, c) // the waiting call has the connection now
	c.Close()
	expectResult(t, <-s, scatter.OutcomeConnectionLost, verdict.MayHaveRun)
	awaitNoConnection(p, f.addr())
	p.Start(late)
	expectResult(t, <-s, scatter.OutcomeCanceled, verdict.NotRun)
	p.Start(newCall(f.addr(), 4, s))
	c = <-f.conns
	reply(t, c, receive(t, c), nil)
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
}

// TestFirstConnectionIsForTrials starts a call to a replica picked as warm
// while no connection is open. The upstream may have restarted unnoticed, so
// the loss is reported and the call isn't sent. A trial request opens the
// connection.
func TestFirstConnectionIsForTrials(t *testing.T) {
	f, s := newFake(t), make(sink, 2)
	lost := make(chan string, 2)
	p := NewPool(func(addr string) { lost <- addr })
	t.Cleanup(p.Close)
	p.SetLimits([]Limit{{Address: f.addr(), Max: 2}})
	p.Start(newCall(f.addr(), 1, s))
	expectResult(t, <-s, scatter.OutcomeCanceled, verdict.NotRun)
	if got := <-lost; got != f.addr() {
		t.Fatalf("reported the loss of %s", got)
	}
	p.Start(newTrial(f.addr(), 2, s))
	c := <-f.conns
	reply(t, c, receive(t, c), nil)
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
	p.Start(newCall(f.addr(), 3, s))
	reply(t, c, receive(t, c), nil)
	expectResult(t, <-s, scatter.OutcomeAnswered, verdict.Ran)
}

// TestTrialEndsAtItsDeadline sends a trial request to an upstream that never
// responds. Its query doesn't cancel it.
func TestTrialEndsAtItsDeadline(t *testing.T) {
	f, s := newFake(t), make(sink, 1)
	p := newPool(t, f.addr(), 1)
	call := newTrial(f.addr(), 1, s)
	call.Attempt.Deadline = time.Now().Add(20 * time.Millisecond)
	p.Start(call)
	receive(t, <-f.conns)
	expectResult(t, <-s, scatter.OutcomeCanceled, verdict.MayHaveRun)
}

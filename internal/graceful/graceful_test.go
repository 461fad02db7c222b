package graceful

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const head = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// testServer is an HTTP server behind a Listener.
type testServer struct {
	*Listener
	http    *http.Server
	arrived chan struct{} // gets a value per request
	proceed chan struct{} // a request is answered per value
	cuts    chan Cut
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	s := newServer(t)
	go func() { _ = s.http.Serve(s.Listener) }()
	return s
}

func newServer(t *testing.T) *testServer {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{arrived: make(chan struct{}, 8), proceed: make(chan struct{}, 8), cuts: make(chan Cut, 8)}
	s.Listener = NewListener(tcp, Policy{HeadTimeout: time.Minute, OnCut: func(c Cut) { s.cuts <- c }})
	s.http = &http.Server{ConnState: s.OnState, Handler: s.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived <- struct{}{}
		select {
		case <-s.proceed:
			_, _ = io.WriteString(w, "ok")
		case <-r.Context().Done():
		}
	}))}
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// drain drains in the background. It returns when the listener is closed.
func (s *testServer) drain(unusedUntil time.Time) <-chan Drained {
	out := make(chan Drained, 1)
	go func() {
		d, _ := s.Drain(context.Background(), unusedUntil)
		out <- d
	}()
	<-s.accepted
	return out
}

type client struct {
	t *testing.T
	net.Conn
	br *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *client {
	t.Helper()
	nc, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	return &client{t, nc, bufio.NewReader(nc)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// expectAnswer reads a response and returns whether it closes the connection.
func (c *client) expectAnswer() bool {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
		c.t.Fatalf("body %q, %v", body, err)
	}
	return resp.Close
}

func (c *client) expectClosed() {
	c.t.Helper()
	if b, err := io.ReadAll(c.br); err != nil || len(b) > 0 {
		c.t.Fatalf("read %q, %v", b, err)
	}
}

// TestDrainAnswersPipelinedRequests guards against requests that were read together with the one before and are dropped.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	s := startServer(t)
	c := s.connect(t)
	c.send(head + head)
	<-s.arrived
	drained := s.drain(time.Now())
	s.proceed <- struct{}{}
	c.expectAnswer()
	<-s.arrived
	s.proceed <- struct{}{}
	c.expectAnswer()
	c.expectClosed()
	if d := <-drained; d.Open != 0 {
		t.Errorf("%+v", d)
	}
}

// TestDrainWaitsForUnusedConnections guards against first requests that are cut because they come after the listener is closed.
func TestDrainWaitsForUnusedConnections(t *testing.T) {
	s := startServer(t)
	used, unused := s.connect(t), s.connect(t)
	used.send(head)
	<-s.arrived
	s.proceed <- struct{}{}
	used.expectAnswer()
	s.awaitConns(2)
	drained := s.drain(time.Now().Add(time.Hour))
	used.expectClosed()
	unused.send(head)
	<-s.arrived
	s.proceed <- struct{}{}
	if !unused.expectAnswer() {
		t.Error("the response doesn't close its connection")
	}
	if d := <-drained; d.Open != 0 {
		t.Errorf("%+v", d)
	}
	if len(s.cuts) > 0 {
		t.Errorf("%d connections were cut", len(s.cuts))
	}
}

// awaitConns waits until n connections have been accepted.
func (s *testServer) awaitConns(n int) {
	for {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestDrainClosesUnusedConnections guards against a stop that waits for connections without any request.
func TestDrainClosesUnusedConnections(t *testing.T) {
	s := startServer(t)
	c := s.connect(t)
	s.awaitConns(1)
	drained := s.drain(time.Now())
	c.expectClosed()
	if d := <-drained; d.Open != 0 {
		t.Errorf("%+v", d)
	}
}

// TestIdleLimitDropsNoArrivedRequest guards against requests that arrive before the idle limit and are read after it.
func TestIdleLimitDropsNoArrivedRequest(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	s := &testServer{Listener: NewListener(tcp, Policy{HeadTimeout: time.Minute})}
	s.connect(t).send(head)
	nc, err := s.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	awaitArrived(t, nc.(*conn).Conn.(*net.TCPConn))
	if err := nc.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 2*len(head))
	for n := 0; n < len(head); {
		m, err := nc.Read(p[n:])
		if err != nil {
			t.Fatalf("read %d bytes, %v", n, err)
		}
		n += m
	}
}

// awaitArrived waits until bytes have arrived on a connection, and reads none.
func awaitArrived(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	p := make([]byte, 1)
	if err := raw.Read(func(fd uintptr) bool {
		n, _, _ := syscall.Recvfrom(int(fd), p, syscall.MSG_PEEK)
		return n > 0
	}); err != nil {
		t.Fatal(err)
	}
}

// TestDrainAnswersConnectionBeingAccepted guards against connections that the stop doesn't know yet.
func TestDrainAnswersConnectionBeingAccepted(t *testing.T) {
	s := newServer(t)
	accepting, proceed := make(chan struct{}), make(chan struct{})
	// Runs after Accept and before net/http knows the connection.
	s.http.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		close(accepting)
		<-proceed
		return ctx
	}
	go func() { _ = s.http.Serve(s.Listener) }()
	c := s.connect(t)
	c.send(head)
	<-accepting
	out := make(chan Drained, 1)
	go func() {
		d, _ := s.Drain(context.Background(), time.Now())
		out <- d
	}()
	for !s.isDraining() {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	<-s.arrived
	s.proceed <- struct{}{}
	c.expectAnswer()
	c.expectClosed()
	if d := <-out; d.Open != 0 {
		t.Errorf("%+v", d)
	}
}

// TestDrainAfterTheListenerFailed guards against requests that are cut when their listener fails.
func TestDrainAfterTheListenerFailed(t *testing.T) {
	s := startServer(t)
	c := s.connect(t)
	c.send(head)
	<-s.arrived
	if err := s.Listener.Listener.Close(); err != nil {
		t.Fatal(err)
	}
	drained := s.drain(time.Now())
	s.proceed <- struct{}{}
	c.expectAnswer()
	c.expectClosed()
	if d := <-drained; d.Open != 0 {
		t.Errorf("%+v", d)
	}
}

// TestCutIsReported guards against connections that are closed with a request in without a trace.
func TestCutIsReported(t *testing.T) {
	s := startServer(t)
	c := s.connect(t)
	c.send(head)
	<-s.arrived
	if err := s.http.Close(); err != nil {
		t.Fatal(err)
	}
	if cut := <-s.cuts; cut.Caller.String() != c.LocalAddr().String() {
		t.Errorf("%+v", cut)
	}
}

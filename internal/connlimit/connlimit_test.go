package connlimit

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/connbudget"
)

// testServer is an HTTP server behind a limiter. It reads bodies as the gateway does.
type testServer struct {
	limiter *Limiter
	address string
	bodies  chan int      // gets the size of each body that was read, or -1
	arrived chan struct{} // gets a value for each request with the path /wait
	proceed chan struct{} // such a request is answered per value
}

// startServer starts a server whose connections may hold a number of bytes.
func startServer(t *testing.T, limit int64, conns int) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{
		limiter: New(Limits(limit, [connbudget.Classes]int{conns, conns, conns, conns}), nil),
		address: ln.Addr().String(), bodies: make(chan int, 1000), arrived: make(chan struct{}, 8), proceed: make(chan struct{}, 8),
	}
	srv := &http.Server{ConnState: OnState, ConnContext: ConnContext, Handler: s}
	go func() { _ = srv.Serve(s.limiter.Listen(ln, connbudget.Callers)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return s
}

// ServeHTTP implements http.Handler.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	if r.URL.Path == "/wait" {
		c.Run()
		s.arrived <- struct{}{}
		<-s.proceed
	}
	body, charged, err := c.ReadBody(r.Body, r.ContentLength, 1<<20)
	if err != nil {
		s.bodies <- -1
		c.Linger()
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.bodies <- len(body)
	c.Run()
	c.Lend(int64(len(body)))
	_, _ = w.Write(body) // fails if the caller leaves
	c.Lend(-int64(len(body)))
	c.Release(charged)
}

type client struct {
	t *testing.T
	net.Conn
	br *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *client {
	t.Helper()
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	return &client{t, nc, bufio.NewReader(nc)}
}

func (c *client) send(parts ...string) {
	c.t.Helper()
	for _, p := range parts {
		if _, err := io.WriteString(c, p); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *client) expectStatus(want int) string {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != want {
		c.t.Fatalf("status %d, want %d; %v", resp.StatusCode, want, err)
	}
	return string(body)
}

const (
	waitHead = "GET /wait HTTP/1.1\r\nHost: h.example\r\n\r\n"
	getHead  = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"
	bodyHead = "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1048576\r\n\r\n"
)

// eventually waits for a state that other goroutines reach.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 10000 {
		if f() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

// TestRefusalReachesCallerThatIsSending guards against a refusal that is lost, as its connection
// is reset because of bytes that the server hasn't read.
func TestRefusalReachesCallerThatIsSending(t *testing.T) {
	s := startServer(t, 512<<10, 10)
	c := s.connect(t)
	// Nothing is read before all has been sent.
	c.send(bodyHead, strings.Repeat("b", 1<<20))
	c.expectStatus(http.StatusServiceUnavailable)
	if n := <-s.bodies; n != -1 {
		t.Errorf("a body of %d bytes was read", n)
	}
	_ = c.Close()
	eventually(t, "nothing is held", func() bool { u := s.limiter.Usage(); return u.Bytes == 0 && u.Conns[connbudget.Callers] == 0 })
}

// TestBodiesAreChargedAsTheyArrive guards against memory that is taken for what was announced.
func TestBodiesAreChargedAsTheyArrive(t *testing.T) {
	s := startServer(t, 8<<20, 10)
	c := s.connect(t)
	c.send(bodyHead, "b")
	eventually(t, "the body is read", func() bool { return s.limiter.Usage().Bytes > openBytes+requestBytes })
	// Larger socket buffers are charged, too.
	if n := s.limiter.Usage().Bytes - openBytes - requestBytes - kernelFactor*maxBuffer; n > firstBodyBytes {
		t.Errorf("%d bytes are charged", n)
	}
	c.send(strings.Repeat("b", 1<<20-1))
	if body := c.expectStatus(http.StatusOK); len(body) != 1<<20 {
		t.Errorf("%d bytes", len(body))
	}
	eventually(t, "an idle connection remains", func() bool { return s.limiter.Usage().Bytes == openBytes })
}

// TestBodySizes checks bodies of a length, chunked ones, and limits.
func TestBodySizes(t *testing.T) {
	var c *Conn
	for _, n := range []int{1, firstBodyBytes - 1, firstBodyBytes, firstBodyBytes + 1, 4 * firstBodyBytes, 100_000} {
		want := bytes.Repeat([]byte("b"), n)
		for _, length := range []int64{int64(n), -1} {
			got, charged, err := c.ReadBody(bytes.NewReader(want), length, 100_000)
			if err != nil || !bytes.Equal(got, want) || charged < int64(n) || charged > max(bodyGrowth*int64(n), firstBodyBytes) {
				t.Errorf("%d bytes of length %d: %d bytes, %d charged, %v", n, length, len(got), charged, err)
			}
		}
		if _, _, err := c.ReadBody(bytes.NewReader(want[:n-1]), int64(n), 100_000); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes of %d: %v", n-1, n, err)
		}
		for _, length := range []int64{int64(n), -1} {
			if _, _, err := c.ReadBody(bytes.NewReader(want), length, int64(n-1)); !errors.Is(err, ErrTooLong) {
				t.Errorf("%d bytes of length %d above the limit: %v", n, length, err)
			}
		}
	}
}

// TestIdleConnectionIsReplaced guards against callers that are kept out by idle connections, and
// against requests that are dropped with them.
func TestIdleConnectionIsReplaced(t *testing.T) {
	s := startServer(t, 8<<20, 2)
	waiting, idle := s.connect(t), s.connect(t)
	waiting.send(waitHead)
	<-s.arrived
	idle.send(getHead)
	idle.expectStatus(http.StatusOK)
	eventually(t, "one connection is idle", func() bool {
		u := s.limiter.Usage()
		return u.Conns[connbudget.Callers] == 2 && u.Bytes == 2*openBytes+requestBytes
	})
	newcomer := s.connect(t)
	newcomer.send(getHead)
	newcomer.expectStatus(http.StatusOK)
	if _, err := idle.br.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	s.proceed <- struct{}{}
	waiting.expectStatus(http.StatusOK)
}

// TestSlowReaderIsCut guards against answers that stay in memory and in sockets, as their
// callers don't read them.
func TestSlowReaderIsCut(t *testing.T) {
	s := startServer(t, 4<<20, 10)
	c := s.connect(t)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	c.send(bodyHead, strings.Repeat("b", 1<<20))
	<-s.bodies
	if !s.limiter.AcquireResponse(3 << 19) {
		t.Fatal("no room")
	}
	eventually(t, "a stalled connection is evicted for another body", func() bool {
		other := s.connect(t)
		other.send(bodyHead)
		if _, err := io.Copy(other, strings.NewReader(strings.Repeat("b", 1<<20))); err != nil {
			t.Fatalf("%v; %+v", err, s.limiter.Usage())
		}
		<-s.bodies
		_ = other.Close()
		return s.limiter.Usage().Evicted[connbudget.Sending] > 0
	})
	s.limiter.ReleaseResponse(3 << 19)
	if _, err := io.Copy(io.Discard, c.br); err == nil {
		t.Error("the answer looks complete")
	}
	eventually(t, "nothing is held", func() bool { return s.limiter.Usage().Bytes == 0 })
}

// TestHalfClosedCallerGetsItsAnswer guards against an answer that is cut because its caller has
// closed its sending side.
func TestHalfClosedCallerGetsItsAnswer(t *testing.T) {
	s := startServer(t, 8<<20, 10)
	c := s.connect(t)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	c.send("POST / HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: 80000\r\n\r\n", strings.Repeat("b", 80_000))
	<-s.bodies
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(4 * deliveryInterval) // for the server to find it
	if body := c.expectStatus(http.StatusOK); len(body) != 80_000 {
		t.Errorf("%d bytes", len(body))
	}
	eventually(t, "nothing is held", func() bool { return s.limiter.Usage().Bytes == 0 })
}

package upstreamhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// plainInspector reads headers with short names.
type plainInspector struct{}

func (plainInspector) Inspect(h *fasthttp.ResponseHeader) ResponseInfo {
	return ResponseInfo{
		RequestID: string(h.Peek("Id")), NotRun: len(h.Peek("Not-Run")) > 0,
		WrongInstance: h.StatusCode() == http.StatusMisdirectedRequest,
	}
}

// startUpstream starts a server that handles each connection with serve.
func startUpstream(t *testing.T, serve func(nc net.Conn, br *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				serve(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return l.Addr().String()
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func readRequest(br *bufio.Reader) (*http.Request, []byte, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(r.Body)
	return r, body, err
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(appendInt(nil, n)) }

func appendInt(b []byte, n int) []byte {
	if n >= 10 {
		b = appendInt(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

func request(id string) *Request {
	return &Request{ID: id, Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n"), Deadline: time.Now().Add(5 * time.Second)}
}

func do(t *testing.T, p *Pool, r *Request) Result {
	t.Helper()
	return p.Do(t.Context(), r, func() bool { return true })
}

func expectBody(t *testing.T, a Result, want string) {
	t.Helper()
	if a.Err != nil || a.Verdict != verdict.Ran {
		t.Fatalf("result is %v (%v), want %q", a.Err, a.Verdict, want)
	}
	if got := string(a.Response.Body()); got != want {
		t.Fatalf("body is %q, want %q", got, want)
	}
}

func expectFailure(t *testing.T, a Result, v verdict.Verdict) {
	t.Helper()
	if a.Err == nil || a.Response != nil || a.Verdict != v {
		t.Fatalf("result is %+v, want a failure with verdict %v", a, v)
	}
}

func TestKeptConnectionCarriesManyRequests(t *testing.T) {
	addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			io.WriteString(nc, response(r.Header.Get("Id"), "body of "+r.Header.Get("Id")))
		}
	})
	p := NewPool(addr, 2, dial, plainInspector{})
	for _, id := range []string{"a", "b", "c"} {
		expectBody(t, do(t, p, request(id)), "body of "+id)
	}
	if _, _, dials := p.Stats(); dials != 1 {
		t.Errorf("%d connections were opened, want 1", dials)
	}
}

func TestLateAnswerToAnotherRequestIsDropped(t *testing.T) {
	addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			io.WriteString(nc, response("earlier", "wrong")+response(r.Header.Get("Id"), "right"))
		}
	})
	p := NewPool(addr, 2, dial, plainInspector{})
	expectBody(t, do(t, p, request("a")), "right")
	if open, _, _ := p.Stats(); open != 0 {
		t.Errorf("%d connections are idle after a stray response", open)
	}
}

func TestUnsolicitedResponseOnIdleConnectionIsNotUsed(t *testing.T) {
	var conns atomic.Int32
	extra := make(chan struct{})
	addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		first := conns.Add(1) == 1
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			io.WriteString(nc, response(r.Header.Get("Id"), "right"))
			if first {
				io.WriteString(nc, response("", "extra"))
				close(extra)
			}
		}
	})
	p := NewPool(addr, 2, dial, plainInspector{})
	expectBody(t, do(t, p, request("a")), "right")
	<-extra
	time.Sleep(20 * time.Millisecond)
	expectBody(t, do(t, p, request("b")), "right")
	if conns.Load() != 2 {
		t.Errorf("%d connections were used, want a new one for the second request", conns.Load())
	}
}

func TestBrokenAnswersAreNotComplete(t *testing.T) {
	for name, raw := range map[string]string{
		"short body":       "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf",
		"short chunk":      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"no end of chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"no answer":        "",
		"not HTTP":         "garbage garbage garbage\r\n\r\n",
		"other request":    response("x", "x") + response("y", "y") + response("z", "z"),
	} {
		t.Run(name, func(t *testing.T) {
			addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
				if _, _, err := readRequest(br); err == nil {
					io.WriteString(nc, raw)
				}
			})
			expectFailure(t, do(t, NewPool(addr, 1, dial, plainInspector{}), request("a")), verdict.MayHaveRun)
		})
	}
}

// An upstream that closes a kept connection while a request is on its way may have
// read the request, and the pool must not send it again.
func TestCloseThatCrossesARequestMayHaveRun(t *testing.T) {
	var requests atomic.Int32
	addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		if _, _, err := readRequest(br); err != nil {
			return
		}
		requests.Add(1)
		io.WriteString(nc, response("a", "first"))
		br.ReadByte() // closes with the rest of the next request unread
	})
	p := NewPool(addr, 1, dial, plainInspector{})
	expectBody(t, do(t, p, request("a")), "first")
	expectFailure(t, do(t, p, request("b")), verdict.MayHaveRun)
	if n := requests.Load(); n != 1 {
		t.Errorf("%d requests were read, want 1", n)
	}
}

func TestAnswerWithoutLength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	for _, reset := range []bool{false, true} {
		addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
			if _, _, err := readRequest(br); err != nil {
				return
			}
			io.WriteString(nc, head+"all of it")
			if reset {
				time.Sleep(20 * time.Millisecond)
				nc.(*net.TCPConn).SetLinger(0)
			}
		})
		a := do(t, NewPool(addr, 1, dial, plainInspector{}), request("a"))
		if reset {
			expectFailure(t, a, verdict.MayHaveRun)
		} else {
			expectBody(t, a, "all of it")
		}
	}
}

func TestEarlyAnswerToALongBodyEndsTheConnection(t *testing.T) {
	received := make(chan []byte, 1)
	addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		for {
			line, err := br.ReadString('\n')
			if err != nil || strings.TrimSpace(line) == "" {
				break
			}
		}
		io.WriteString(nc, "HTTP/1.1 413 Too Large\r\nId: a\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		b, _ := io.ReadAll(br)
		received <- b
	})
	p := NewPool(addr, 1, dial, plainInspector{})
	r := request("a")
	r.ForceContentLength, r.Body = true, bytes.Repeat([]byte{'b'}, 32<<20)
	a := do(t, p, r)
	if a.Err != nil || a.Response.StatusCode() != http.StatusRequestEntityTooLarge {
		t.Fatalf("result is %+v, want 413", a)
	}
	if open, _, _ := p.Stats(); open != 0 {
		t.Error("the connection was kept although the body wasn't sent")
	}
	if b := <-received; len(bytes.Trim(b, "b")) != 0 {
		t.Error("other bytes follow the part of the body that was sent")
	}
}

func TestRefusedConnectionHasNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	expectFailure(t, do(t, NewPool(addr, 1, dial, plainInspector{}), request("a")), verdict.NotRun)
}

func TestResponseThatReportsNotRun(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n", "HTTP/1.1 421 Other\r\n"} {
		addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
			if _, _, err := readRequest(br); err == nil {
				io.WriteString(nc, head+"Id: a\r\nContent-Length: 0\r\n\r\n")
			}
		})
		if a := do(t, NewPool(addr, 1, dial, plainInspector{}), request("a")); a.Verdict != verdict.NotRun {
			t.Errorf("verdict is %v after %q", a.Verdict, head)
		}
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	reached := make(chan struct{})
	addr := startUpstream(t, func(_ net.Conn, br *bufio.Reader) {
		if _, _, err := readRequest(br); err != nil {
			return
		}
		close(reached)
		br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	p := NewPool(addr, 1, dial, plainInspector{})
	expectFailure(t, p.Do(ctx, request("a"), func() bool { return true }), verdict.MayHaveRun)
	<-closed
}

func TestSilentUpstreamEndsAtTheDeadline(t *testing.T) {
	addr := startUpstream(t, func(_ net.Conn, br *bufio.Reader) { io.Copy(io.Discard, br) })
	r := request("a")
	r.Deadline = time.Now().Add(30 * time.Millisecond)
	expectFailure(t, do(t, NewPool(addr, 1, dial, plainInspector{}), r), verdict.MayHaveRun)
}

func TestConnectionLimitAndWaiters(t *testing.T) {
	var open, most atomic.Int32
	addr := startUpstream(t, func(nc net.Conn, br *bufio.Reader) {
		n := open.Add(1)
		defer open.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		for {
			r, _, err := readRequest(br)
			if err != nil {
				return
			}
			time.Sleep(time.Millisecond)
			io.WriteString(nc, response(r.Header.Get("Id"), "x"))
		}
	})
	p := NewPool(addr, 2, dial, plainInspector{})
	results := make(chan Result, 20)
	for i := range cap(results) {
		go func() { results <- p.Do(context.Background(), request(itoa(i)), func() bool { return true }) }()
	}
	for range cap(results) {
		expectBody(t, <-results, "x")
	}
	if most.Load() > 2 {
		t.Errorf("%d connections were open at the same time, want 2 at most", most.Load())
	}
}

func TestCanceledWaiterHasNotRun(t *testing.T) {
	addr := startUpstream(t, func(_ net.Conn, br *bufio.Reader) { io.Copy(io.Discard, br) })
	p := NewPool(addr, 1, dial, plainInspector{})
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan Result, 1)
	sent := make(chan struct{})
	go func() { first <- p.Do(ctx, request("a"), func() bool { close(sent); return true }) }()
	<-sent
	r := request("b")
	r.Deadline = time.Now().Add(20 * time.Millisecond)
	expectFailure(t, do(t, p, r), verdict.NotRun)
	cancel()
	<-first
}

func TestIdleConnectionIsNotUsedBeyondTheUpstreamsTimeout(t *testing.T) {
	c := &conn{br: bufio.NewReader(strings.NewReader(""))}
	c.setIdleTimeout(2 * time.Second)
	if c.expired(time.Now().Add(time.Second)) {
		t.Error("the connection has expired after half of the timeout")
	}
	if !c.expired(time.Now().Add(1900 * time.Millisecond)) {
		t.Error("the connection is used right before its upstream closes it")
	}
}

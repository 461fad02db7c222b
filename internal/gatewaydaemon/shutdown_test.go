package gatewaydaemon

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/graceful"
)

// stallingListener accepts connections whose reads can be stalled.
type stallingListener struct {
	net.Listener
	accepted chan *stallingConn
}

func (l stallingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &stallingConn{TCPConn: nc.(*net.TCPConn), stalled: make(chan struct{}), asked: make(chan struct{})}
	l.accepted <- c
	return c, nil
}

type stall int32

const (
	// stallAfterRead stalls a read between the system call that takes the bytes and its return.
	stallAfterRead stall = iota + 1
	// stallBeforeRead stalls a read before that system call.
	stallBeforeRead
)

// stallingConn stalls one read until another goroutine closes the connection or sets a deadline.
type stallingConn struct {
	*net.TCPConn
	stall   atomic.Int32
	stalled chan struct{} // closed when the read is stalled
	asked   chan struct{} // closed by the other goroutine
	release sync.Once
}

func (c *stallingConn) wait(at stall) {
	if c.stall.CompareAndSwap(int32(at), 0) {
		close(c.stalled)
		<-c.asked
	}
}

func (c *stallingConn) Read(p []byte) (int, error) {
	c.wait(stallBeforeRead)
	n, err := c.TCPConn.Read(p)
	c.wait(stallAfterRead)
	return n, err
}

func (c *stallingConn) Close() error {
	err := c.TCPConn.Close()
	c.onAsked()
	return err
}

func (c *stallingConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	c.onAsked()
	return err
}

func (c *stallingConn) onAsked() {
	select {
	case <-c.stalled:
		c.release.Do(func() { close(c.asked) })
	default:
	}
}

const (
	requestHead    = "GET /a HTTP/1.1\r\nHost: h.example\r\n"
	requestHeadEnd = "\r\n"
	slowPath       = "/slow"
)

// TestStopAnswersRequestsReadWhileItCloses guards against requests that are read and run while a stop closes their connection.
func TestStopAnswersRequestsReadWhileItCloses(t *testing.T) {
	for name, c := range map[string]struct {
		stall stall
		send  string // before the connections are closed
		later string // after that
	}{
		"whole head read":    {stallAfterRead, requestHead + requestHeadEnd, ""},
		"part of head read":  {stallAfterRead, requestHead, requestHeadEnd},
		"head not read yet":  {stallBeforeRead, requestHead + requestHeadEnd, ""},
		"one byte read":      {stallAfterRead, requestHead[:1], requestHead[1:] + requestHeadEnd},
		"one byte in kernel": {stallBeforeRead, requestHead[:1], requestHead[1:] + requestHeadEnd},
	} {
		test := func(t *testing.T, ofPeers bool) {
			t.Parallel()
			s := startStoppingServer(t, c.stall, ofPeers)
			finish := s.startSlowRequest(t)
			client, err := net.Dial("tcp", s.inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			br := bufio.NewReader(client)
			answer := func() error {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					return err
				}
				_, err = io.ReadAll(resp.Body)
				return errors.Join(err, resp.Body.Close())
			}
			send := func(text string) {
				if _, err := io.WriteString(client, text); err != nil {
					t.Fatal(err)
				}
			}
			send(requestHead + requestHeadEnd)
			if err := answer(); err != nil {
				t.Fatal(err)
			}
			<-s.idle
			send(c.send)
			<-s.conn.stalled
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.stop()
			}()
			<-s.conn.asked
			if c.later != "" {
				_, _ = io.WriteString(client, c.later) // fails on a closed connection, which answer reports
			}
			err = answer()
			<-s.closed
			finish()
			<-ended
			if err != nil {
				t.Errorf("no answer: %v; %d of 2 requests ran", err, s.runs.Load())
			}
		}
		t.Run("caller, "+name, func(t *testing.T) { test(t, false) })
		t.Run("other VM, "+name, func(t *testing.T) { test(t, true) })
	}
}

// stoppingServer is a daemon's server of callers or of other VMs.
type stoppingServer struct {
	daemon         *Daemon
	callers, peers *http.Server
	inner          stallingListener
	idle           chan struct{} // closed when the connection is idle
	conn           *stallingConn // set before idle is closed
	runs           atomic.Int32
	// closed is closed once the server is done with the connection, served by its wrapper.
	closed               chan struct{}
	served               net.Conn
	slowRuns, finishSlow chan struct{}
}

// startStoppingServer returns a server that stalls a read of its connection after the first response.
func startStoppingServer(t *testing.T, at stall, ofPeers bool) *stoppingServer {
	t.Helper()
	conns := make(chan *stallingConn, 1)
	s := &stoppingServer{
		daemon: newIdleDaemon(t, 20*time.Second), inner: stallingListener{listenOnLoopback(t), conns},
		idle: make(chan struct{}), closed: make(chan struct{}), slowRuns: make(chan struct{}), finishSlow: make(chan struct{}),
	}
	listener := graceful.NewListener(s.inner, graceful.Policy{HeadTimeout: headerTimeout})
	other := graceful.NewListener(listenOnLoopback(t), graceful.Policy{HeadTimeout: headerTimeout})
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == slowPath {
				close(s.slowRuns)
				<-s.finishSlow
				return
			}
			s.runs.Add(1)
			_, _ = io.WriteString(w, "ok")
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			listener.OnState(c, state)
			switch {
			case state == http.StateClosed && c == s.served:
				close(s.closed)
			case state == http.StateIdle && s.served == nil:
				s.served = c
				s.conn = <-s.inner.accepted
				s.conn.stall.Store(int32(at))
				close(s.idle)
			}
		},
	}
	s.callers, s.peers = server, &http.Server{}
	s.daemon.callerListener, s.daemon.peerListener = listener, other
	if ofPeers {
		s.callers, s.peers = s.peers, s.callers
		s.daemon.callerListener, s.daemon.peerListener = other, listener
	}
	go func() { _ = s.callers.Serve(s.daemon.callerListener) }()
	go func() { _ = s.peers.Serve(s.daemon.peerListener) }()
	return s
}

// startSlowRequest sends a request that keeps the server from ending its stop until it is finished.
func (s *stoppingServer) startSlowRequest(t *testing.T) (finish func()) {
	t.Helper()
	client, err := net.Dial("tcp", s.inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, "GET "+slowPath+" HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-s.inner.accepted
	<-s.slowRuns
	return func() {
		close(s.finishSlow)
		_ = client.Close()
	}
}

func (s *stoppingServer) stop() { s.daemon.shutdown(s.callers, s.peers) }

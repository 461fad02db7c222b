package gatewaydaemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/graceful"
	"ryecourse.example/ryecourse/platform"
)

const testSettings = `node=vm
zone=a
bind_addrs.front=127.0.0.1:1
bind_addrs.ready=127.0.0.1:1
bind_addrs.control=127.0.0.1:1
seeds=127.0.0.1:1
limits.cores=1
bounds.grace_s=3
platform.address=127.0.0.1:1
`

// newIdleDaemon returns a daemon that listens on nothing.
func newIdleDaemon(t *testing.T, grace time.Duration) *Daemon {
	t.Helper()
	s, err := platform.ReadSettings(strings.NewReader(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	s.Bounds.ShutdownGrace = grace
	return New(s, io.Discard)
}

// serveCallers makes the daemon serve callers on l.
func serveCallers(t *testing.T, d *Daemon, l net.Listener, callers *http.Server) {
	t.Helper()
	d.callerListener = graceful.NewListener(l, graceful.Policy{})
	d.peerListener = graceful.NewListener(listenOnLoopback(t), graceful.Policy{})
	callers.ConnState = d.callerListener.OnState
	go callers.Serve(d.callerListener)
	go (&http.Server{}).Serve(d.peerListener)
	t.Cleanup(func() { callers.Close() })
}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestFailedListenerLetsRequestsEnd guards against an end of the process with requests running.
func TestFailedListenerLetsRequestsEnd(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	d, l := newIdleDaemon(t, 3*time.Second), listenOnLoopback(t)
	callers := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	})}
	serveCallers(t, d, l, callers)
	defer close(release)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	errs := make(chan error, 1)
	errs <- errors.New("accept: no buffer space available")
	ended := make(chan error, 1)
	go func() { ended <- d.waitForShutdown(callers, &http.Server{}, signals{}, errs) }()
	select {
	case err := <-ended:
		t.Errorf("the process ends (%v) while a request is running", err)
	case <-d.stopping: // the request may end in the grace period
	}
}

// TestStopSignalBehindReloadsIsReceived guards against a SIGTERM that is dropped as reloads fill its channel.
func TestStopSignalBehindReloadsIsReceived(t *testing.T) {
	fifo := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(fifo, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsVariable, fifo)
	d, callers := newIdleDaemon(t, 3*time.Second), &http.Server{}
	serveCallers(t, d, listenOnLoopback(t), callers)
	signals := notifySignals()
	defer signals.close()
	// Reports when a signal has been passed on to all channels, so that none is merged with
	// the next one.
	delivered := make(chan os.Signal, 16)
	signal.Notify(delivered, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(delivered)
	send := func(s syscall.Signal) {
		if err := syscall.Kill(syscall.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		<-delivered
	}
	ended := make(chan error, 1)
	go func() { ended <- d.waitForShutdown(callers, &http.Server{}, signals, nil) }()
	// Each reload opens the file once; the open for writing returns when it does.
	reloads := make(chan struct{})
	quit := make(chan struct{})
	defer close(quit)
	finish := make(chan struct{})
	go func() {
		for {
			f, err := os.OpenFile(fifo, os.O_WRONLY, 0)
			if err != nil {
				return
			}
			select {
			case reloads <- struct{}{}:
			case <-quit:
				return
			}
			<-finish
			f.WriteString(testSettings)
			f.Close()
		}
	}()
	send(syscall.SIGHUP)
	<-reloads
	for range 8 { // while the reload waits for the disk
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	send(syscall.SIGHUP) // signals are passed on one by one: SIGTERM has been
	close(finish)
	for range 32 { // more than the signals that the daemon may hold
		select {
		case <-d.stopping:
			<-ended
			return
		case <-reloads:
			send(syscall.SIGHUP)
		}
	}
	t.Error("the VM reloads on and doesn't stop")
}

package gatewaydaemon

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"

	"ryecourse.example/ryecourse/platform"
)

// eventWriter calls a function once for each event in the log.
type eventWriter struct {
	on   map[string]func()
	once sync.Map
}

func (w *eventWriter) Write(line []byte) (int, error) {
	for event, f := range w.on {
		if bytes.Contains(line, []byte(`"event":"`+event+`"`)) {
			if _, seen := w.once.LoadOrStore(event, true); !seen {
				f()
			}
		}
	}
	return len(line), nil
}

func localSettings(t *testing.T) platform.Settings {
	t.Helper()
	var addresses [3]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = l.Addr().String()
		defer l.Close()
	}
	s, err := platform.ReadSettings(strings.NewReader("node=n\nzone=a\nzones.a=r\nbind_addrs.front=" + addresses[0] +
		"\nbind_addrs.ready=" + addresses[1] + "\nbind_addrs.control=" + addresses[2] + "\nplatform.address=127.0.0.1:1\nbounds.grace_s=1\n"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestSignalAtTheStartEndsNoProcess guards against a process that a signal ends before it is handled.
func TestSignalAtTheStartEndsNoProcess(t *testing.T) {
	kill := func(s syscall.Signal) func() {
		return func() {
			if err := syscall.Kill(syscall.Getpid(), s); err != nil {
				t.Error(err)
			}
		}
	}
	log := &eventWriter{on: map[string]func(){"start": kill(syscall.SIGHUP), "reload": kill(syscall.SIGTERM)}}
	if err := New(localSettings(t), log).Run(context.Background()); err != nil {
		t.Error(err)
	}
}

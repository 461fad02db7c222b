package cli

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"ryecourse.example/ryecourse/platform"
)

// TestStopSignalIsHandledOnceCallersConnect guards against SIGTERM between the listener and its handler.
func TestStopSignalIsHandledOnceCallersConnect(t *testing.T) {
	for i := range 10 { // the moment between the listener and the handler can't be held
		a := freeAddresses(t, 3)
		path := filepath.Join(t.TempDir(), "settings")
		text := fmt.Sprintf("node=vm\nzone=a\nbind_addrs.front=%s\nbind_addrs.ready=%s\nbind_addrs.control=%s\nseeds=%s\nlimits.cores=1\nbounds.grace_s=1\nplatform.address=127.0.0.1:1\n", a[0], a[1], a[2], a[2])
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0], "-test.run=^TestRunCommand$")
		cmd.Env = append(os.Environ(), commandVariable+"=ryecourse gateway", platform.SettingsVariable+"="+path)
		var log strings.Builder
		cmd.Stdout, cmd.Stderr = &log, &log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		for isOpen := false; !isOpen; {
			select {
			case err := <-ended:
				t.Fatalf("start %d: the process ended before it listened: %v\n%s", i, err, log.String())
			default:
			}
			if c, err := net.Dial("tcp", a[0]); err == nil {
				defer c.Close()
				isOpen = true
			}
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := <-ended; err != nil {
			t.Errorf("start %d: the process ended with %v", i, err)
		}
	}
}

// freeAddresses returns addresses whose ports were free.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

package cli

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"ryecourse.example/ryecourse/platform"
)

// TestGatewayOutlivesItsLogReader guards against a process that SIGPIPE ends once nobody reads its log.
func TestGatewayOutlivesItsLogReader(t *testing.T) {
	var addresses []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, l.Addr().String())
		defer l.Close()
	}
	// The addresses are in use, so that the gateway ends by an error of its own.
	path := filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf("node=vm\nzone=a\nbind_addrs.front=%s\nbind_addrs.ready=%s\nbind_addrs.control=%s\nseeds=%s\nlimits.cores=1\nplatform.address=127.0.0.1:1\n",
		addresses[0], addresses[1], addresses[2], addresses[2])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	cmd := exec.Command(os.Args[0], "-test.run=^TestRunCommand$")
	cmd.Env = append(os.Environ(), commandVariable+"=ryecourse gateway", platform.SettingsVariable+"="+path)
	cmd.Stdout = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	var exit *exec.ExitError
	if err := cmd.Wait(); !errors.As(err, &exit) {
		t.Fatalf("the process ended with %v, want an exit code", err)
	}
	if s := exit.Sys().(syscall.WaitStatus); s.Signaled() {
		t.Errorf("the process was ended by %v", s.Signal())
	}
}

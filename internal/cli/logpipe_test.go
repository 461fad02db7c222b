package cli

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"ryecourse.example/ryecourse/platform"
)

// TestGatewayOutlivesItsLogReader guards against a process that SIGPIPE ends once nobody reads its log.
func TestGatewayOutlivesItsLogReader(t *testing.T) {
	a := freeAddresses(t, 3)
	path := filepath.Join(t.TempDir(), "settings")
	text := fmt.Sprintf("node=vm\nzone=a\nbind_addrs.front=%s\nbind_addrs.ready=%s\nbind_addrs.control=%s\nseeds=%s\nlimits.cores=1\nbounds.grace_s=1\nplatform.address=127.0.0.1:1\n", a[0], a[1], a[2], a[2])
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
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for isOpen := false; !isOpen; {
		select {
		case err := <-ended:
			isOpen = true
			ended <- err
		default:
			if resp, err := http.Get("http://" + a[1] + platform.ReadinessPath); err == nil {
				resp.Body.Close()
				isOpen = true
			}
		}
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // the stop takes half a second, and logs before that
	if err := <-ended; err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

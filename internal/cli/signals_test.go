package cli

import (
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"ryecourse.example/ryecourse/platform"
)

// commandVariable makes the test binary run the command in it.
const commandVariable = "RYECOURSE_TEST_COMMAND"

// TestRunCommand is the process of TestReloadSignalDoesNotEndAProcessThatStarts.
func TestRunCommand(t *testing.T) {
	command := os.Getenv(commandVariable)
	if command == "" {
		return // this is the test process
	}
	os.Exit(Run(context.Background(), strings.Fields(command), os.Stdout, os.Stderr))
}

// TestReloadSignalDoesNotEndAProcessThatStarts guards against SIGHUP before its handler is set.
func TestReloadSignalDoesNotEndAProcessThatStarts(t *testing.T) {
	for _, command := range []string{"gateway", "serve"} {
		t.Run(command, func(t *testing.T) {
			fifo := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(fifo, 0o600); err != nil {
				t.Fatal(err)
			}
			args := "ryecourse " + command
			if command == "serve" {
				args += " --settings " + fifo
			}
			cmd := exec.Command(os.Args[0], "-test.run=^TestRunCommand$")
			cmd.Env = append(os.Environ(), commandVariable+"="+args, platform.SettingsVariable+"="+fifo)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			w, err := os.OpenFile(fifo, os.O_WRONLY, 0) // returns when the process reads
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			io.WriteString(w, "not settings\n") // which end the process with an error of its own
			w.Close()
			var exit *exec.ExitError
			if err := cmd.Wait(); !errors.As(err, &exit) {
				t.Fatalf("the process ended with %v, want an exit code", err)
			}
			if s := exit.Sys().(syscall.WaitStatus); s.Signaled() {
				t.Errorf("the process was ended by %v", s.Signal())
			}
		})
	}
}

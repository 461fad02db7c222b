package configcmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/urfave/cli/v3"
)

// run runs a command line, with DIR replaced by dir, and returns its output and
// exit code.
func run(dir, line string) string {
	var out, errOut bytes.Buffer
	root := &cli.Command{
		Name:           "ryecourse",
		Writer:         &out,
		ErrWriter:      &errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{New()},
	}
	args := []string{"ryecourse"}
	for _, arg := range strings.Fields(line) {
		args = append(args, strings.ReplaceAll(arg, "DIR", dir))
	}
	err := root.Run(context.Background(), args)
	code := 0
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else if err != nil {
		code = -1
	}
	text := out.String()
	for _, line := range strings.SplitAfter(errOut.String(), "\n") {
		if line != "" {
			text += "stderr: " + line
		}
	}
	if err != nil && err.Error() != "" {
		text += "error: " + err.Error() + "\n"
	}
	return strings.ReplaceAll(text, dir, "DIR") + fmt.Sprintf("exit %d\n", code)
}

// TestCommands runs testdata/commands. There, "write" creates a file in a
// temporary folder and "run" runs a command line in which DIR stands for it.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	datadriven.RunTest(t, "testdata/commands", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "write":
			path := filepath.Join(dir, d.CmdArgs[0].Key)
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(d.Input), 0o644); err != nil {
				t.Fatal(err)
			}
			return ""
		case "run":
			return run(dir, d.Input)
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	})
}

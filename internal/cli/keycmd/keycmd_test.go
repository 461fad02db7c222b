package keycmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/urfave/cli/v3"
)

func run(random io.Reader, line string) string {
	var out bytes.Buffer
	root := &cli.Command{
		Name:           "ryecourse",
		Writer:         &out,
		ErrWriter:      &out,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{newCommand(random)},
	}
	err := root.Run(context.Background(), append([]string{"ryecourse"}, strings.Fields(line)...))
	code := 0
	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		code = exit.ExitCode()
		fmt.Fprintln(&out, "error:", err)
	}
	return out.String() + fmt.Sprintf("exit %d\n", code)
}

func TestKey(t *testing.T) {
	datadriven.RunTest(t, "testdata/key", func(t *testing.T, d *datadriven.TestData) string {
		random := strings.NewReader(strings.Repeat("ryecourse", 4))
		if d.HasArg("no-random") {
			random = strings.NewReader("")
		}
		return run(random, d.Input)
	})
}

func TestNewKeysAreRandom(t *testing.T) {
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		root := New()
		root.Writer = out
		if err := root.Run(context.Background(), []string{"key", "new"}); err != nil {
			t.Fatal(err)
		}
	}
	if first.String() == second.String() {
		t.Fatal("two keys are equal")
	}
}

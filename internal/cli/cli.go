// Package cli implements the ryecourse command line, with `ryecourse serve` and
// `ryecourse gateway` among its commands.
//
// Exit codes: 0 success; 1 the command found problems or failed; 2 the command
// line is invalid; 4 a request would be refused.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/cli/configcmd"
	"ryecourse.example/ryecourse/internal/cli/keycmd"
)

// Exit codes of every command.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
	// ExitRefused is that of `ryecourse route` for a request that would be refused.
	ExitRefused = 4
)

// Version is the version of the product.
const Version = "0.1.0"

// App returns the root command. It writes to out and errOut.
func App(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:                  "ryecourse",
		Usage:                 "a query tier between callers and sharded search back ends",
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Description: "Exit codes: 0 success; 1 problems were found or the command failed;\n" +
			"2 the command line is wrong; 4 a request would be refused (route).",
		Commands: []*cli.Command{
			serveCommand(),
			gatewayCommand(),
			explainCommand(),
			routeCommand(),
			configcmd.New(),
			keycmd.New(),
			statusCommand(),
			auditCommand(),
			versionCommand(),
		},
	}
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := App(out, errOut).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, err)
	var coder cli.ExitCoder
	if errors.As(err, &coder) && (coder.ExitCode() == ExitError || coder.ExitCode() == ExitRefused) {
		return coder.ExitCode()
	}
	return ExitUsage
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := fmt.Fprintln(cmd.Root().Writer, "ryecourse", Version)
			return err
		},
	}
}

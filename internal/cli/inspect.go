package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/servedaemon"
)

// requestTimeout is the timeout of a request to a running daemon.
const requestTimeout = 5 * time.Second

func inspectFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "operator", Usage: "the `ADDRESS` of the daemon's operators' listener", Value: "127.0.0.1:7301"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON for programs"},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the state of a running daemon",
		Description: "Example:\n   ryecourse status --operator 127.0.0.1:7301",
		Flags:       inspectFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			var st servedaemon.Status
			return fetch(cmd, "/status", &st, func(w io.Writer) { printStatus(w, &st) })
		},
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:        "audit",
		Usage:       "show what a running daemon changed and why",
		Description: "Example:\n   ryecourse audit --operator 127.0.0.1:7301 --since 120",
		Flags: append(inspectFlags(),
			&cli.Uint64Flag{Name: "since", Usage: "only entries after this sequence `NUMBER`"}),
		Action: func(_ context.Context, cmd *cli.Command) error {
			var entries []audit.Entry
			path := "/audit?since=" + strconv.FormatUint(cmd.Uint64("since"), 10)
			return fetch(cmd, path, &entries, func(w io.Writer) { printAudit(w, entries) })
		},
	}
}

// fetch requests path from the daemon and prints the response as JSON or as a
// table.
func fetch(cmd *cli.Command, path string, into any, table func(io.Writer)) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+cmd.String("operator")+path, requestTimeout)
	if err != nil {
		return cli.Exit(fmt.Sprintf("no response from %s: %v", cmd.String("operator"), err), ExitError)
	}
	if status != fasthttp.StatusOK {
		return cli.Exit(fmt.Sprintf("%s returned status %d: %s", cmd.String("operator"), status, body), ExitError)
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		_, err = out.Write(body)
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return cli.Exit(fmt.Sprintf("can't parse the response: %v", err), ExitError)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/standin/load"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "send queries to daemons and check every answer against the upstreams' logs",
		Description: `Prints each fault found and then a summary. The exit code is 1 if there is any.
The events file has a line for each event, written just before the driver of
the run causes it: Unix milliseconds, kind, argument. Kinds: kill, pause and resume
(a daemon's address), zone-out and zone-in (a zone), withdraw (a customer).`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Required: true, Usage: "`FILE` that describes the run"},
			&cli.DurationFlag{Name: "for", Required: true, Usage: "`TIME` to send queries"},
			&cli.StringFlag{Name: "name", Value: "check", Usage: "`NAME` at the start of the summary"},
			&cli.FloatFlag{Name: "min-answered", Usage: "minimum `FRACTION` of the valid queries that must be answered (default: the file's)"},
			&cli.BoolFlag{Name: "timeline", Usage: "print a line for each second"},
		},
		Action: runCheck,
	}
}

func runCheck(ctx context.Context, c *cli.Command) error {
	cfg, err := load.ReadConfig(c.String("file"))
	if err != nil {
		return err
	}
	if c.IsSet("min-answered") {
		cfg.MinAnswered = c.Float("min-answered")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("for"))
	defer cancel()
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if c.Bool("timeline") {
		report.PrintTimeline(os.Stdout)
	}
	report.Print(os.Stdout, c.String("name"))
	if !report.OK() {
		return cli.Exit("", 1)
	}
	return nil
}

package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/servedaemon"
	"ryecourse.example/ryecourse/internal/settings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon",
		Description: "Runs until SIGTERM or SIGINT, then refuses new requests, completes running\n" +
			"ones and hands its shares over to other daemons. SIGHUP is ignored.\n\n" +
			"Example:\n   ryecourse serve --settings /etc/ryecourse/vm.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE` of this process", Required: true},
		},
		Action: serve,
	}
}

// ignoreSignals makes a daemon outlive a reload of its settings before it can handle one, the
// end of its terminal, and that of the reader of its log.
func ignoreSignals() { signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) }

func serve(ctx context.Context, cmd *cli.Command) error {
	ignoreSignals()
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), ExitError)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := servedaemon.Run(ctx, s, cmd.Root().Writer); err != nil {
		return cli.Exit(err.Error(), ExitError)
	}
	return nil
}

package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/gatewaydaemon"
	"ryecourse.example/ryecourse/platform"
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the gateway daemon",
		Description: "Reads the settings file that the environment variable " + platform.SettingsVariable + " names and\n" +
			"runs until SIGTERM or SIGINT; SIGHUP reloads the settings.",
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, cmd *cli.Command) error {
	ignoreSignals()
	s, err := platform.LoadSettings()
	if err != nil {
		return cli.Exit(err.Error(), ExitError)
	}
	if err := gatewaydaemon.New(s, cmd.Root().Writer).Run(ctx); err != nil {
		return cli.Exit(err.Error(), ExitError)
	}
	return nil
}

// Package command implements the standin command line, which is not part of the
// product.
package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/standin/platform"
)

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of the platform and of upstreams, for tests and demonstrations",
		Commands: []*cli.Command{platformCommand(), leafCommand(), filesCommand(), checkCommand()},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a folder of files and a VM list as the platform does",
		Description: `Each address is a replica with its own faults. POST /control sets a fault:
  curl -d '{"part":"config","mode":"refuse","for_ms":3000}' 127.0.0.1:7001/control
  curl -d '{"behind":2}' 127.0.0.1:7001/control
  curl -d '{"part":"vms","lag_ms":2000}' 127.0.0.1:7001/control
  curl -d '{}' 127.0.0.1:7001/control`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "listen", Required: true, Usage: "`ADDR` of a replica, repeatable"},
			&cli.StringFlag{Name: "folder", Required: true, Usage: "`DIR` of configuration files"},
			&cli.StringFlag{Name: "vms", Required: true, Usage: "`FILE` with the VM list"},
			&cli.Uint64Flag{Name: "first-revision", Usage: "`REVISION` to start from (default: Unix time)"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	now := time.Now()
	first := c.Uint64("first-revision")
	if first == 0 {
		first = uint64(now.Unix())
	}
	store, err := platform.NewStore(c.String("folder"), c.String("vms"), first, now)
	if err != nil {
		return err
	}
	return platform.Run(ctx, store, c.StringSlice("listen"))
}

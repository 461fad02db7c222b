package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/standin/leaf"
	"ryecourse.example/ryecourse/internal/standin/leafgroups"
)

func leafCommand() *cli.Command {
	return &cli.Command{
		Name:  "leaf",
		Usage: "run stand-in upstreams, many in one process",
		Description: `The file describes groups of upstreams; --only selects those of this process.
POST /control on the control listener runs an action on some of them:
  curl -d '{"leaf":"ps-0-a","action":"crash"}' 127.0.0.1:7090/control
  curl -d '{"leaf":"ps-*-b","action":"freeze"}' 127.0.0.1:7090/control
  curl -d '{"leaf":"ps-*","action":"publish","snapshot":{"id":"s2","shards":4},"spread_ms":500}' 127.0.0.1:7090/control
  curl -d '{"leaf":"*","action":"policy","policy":{"straggler_fraction":0.02,"straggler_factor":20}}' 127.0.0.1:7090/control
Actions: crash, start, restart, freeze, thaw, drain, undrain, cold, publish, policy.
GET /control/leaves returns states and counters, GET /control/truth?leaf=ID the attempts that a leaf received.`,
		Flags: []cli.Flag{
			fileFlag(),
			&cli.StringSliceFlag{Name: "only", Usage: "`PATTERN` of IDs to run, repeatable (default: all)"},
			&cli.StringFlag{Name: "control", Usage: "`ADDR` of the control listener"},
			&cli.DurationFlag{Name: "switch-every", Usage: "`TIME` between new snapshots (default: never)"},
		},
		Action: runLeaf,
	}
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Required: true, Usage: "`FILE` that describes the upstreams"}
}

func runLeaf(ctx context.Context, c *cli.Command) error {
	f, err := leafgroups.Load(c.String("file"))
	if err != nil {
		return err
	}
	var p leaf.Process
	for _, cfg := range f.Leaves(c.StringSlice("only")) {
		p.Leaves = append(p.Leaves, leaf.New(cfg))
	}
	return p.Run(ctx, leaf.RunOptions{ControlAddress: c.String("control"), SnapshotInterval: c.Duration("switch-every")})
}

func filesCommand() *cli.Command {
	return &cli.Command{
		Name:  "files",
		Usage: "write the configuration files that list the stand-in upstreams",
		Flags: []cli.Flag{
			fileFlag(),
			&cli.StringFlag{Name: "folder", Required: true, Usage: "`DIR` to write to"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			f, err := leafgroups.Load(c.String("file"))
			if err != nil {
				return err
			}
			return f.WriteConfigFiles(c.String("folder"))
		},
	}
}

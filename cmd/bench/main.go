// Command bench measures daemons against stand-in upstreams. scripts/bench.sh
// starts the processes that it needs. It is not part of the product.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/standin/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure daemons against stand-in upstreams",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run all scenarios; JSON on standard output", Flags: fileFlags(), Action: run},
			{Name: "cost", Usage: "compare a daemon with a bare loop; JSON on standard output", Flags: fileFlags(), Action: cost},
			{Name: "report", Usage: "print tables of all results", Flags: reportFlags(), Action: report},
		},
	}
}

func fileFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{Name: "file", Required: true, Usage: "`FILE` that describes the run"}}
}

func reportFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "tier", Usage: "`FILE` with a result of the tier, repeatable"},
		&cli.StringSliceFlag{Name: "naive", Usage: "`FILE` with the naive variant's result for the same seed, repeatable"},
		&cli.StringSliceFlag{Name: "cost", Usage: "`FILE` with a result of the cost, repeatable"},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	cfg, err := bench.ReadConfig(c.String("file"))
	if err != nil {
		return err
	}
	result, err := bench.Run(ctx, cfg)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

func cost(_ context.Context, c *cli.Command) error {
	cfg, err := bench.ReadConfig(c.String("file"))
	if err != nil {
		return err
	}
	result, err := bench.MeasureCost(cfg)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(result)
}

func report(_ context.Context, c *cli.Command) error {
	s, err := bench.ReadSummary(c.StringSlice("tier"), c.StringSlice("naive"), c.StringSlice("cost"))
	if err != nil {
		return err
	}
	s.Print(os.Stdout)
	return nil
}

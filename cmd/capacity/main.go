// Command capacity prints the tables of the capacity page, or writes them into
// the page. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/capacity"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  "compute the cost of a daemon's duties from measured slopes",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "write", Usage: "write the tables into the page `FILE`"}},
		Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	slopes, err := capacity.Load()
	if err != nil {
		return err
	}
	tables := capacity.Tables(slopes)
	if file := c.String("write"); file != "" {
		return write(file, tables)
	}
	for _, t := range tables {
		fmt.Printf("%s\n\n%s\n", t.Name, t.Markdown())
	}
	return nil
}

func write(file string, tables []capacity.Table) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	text, err := capacity.Insert(string(page), tables)
	if err != nil {
		return err
	}
	const mode = 0o644
	return os.WriteFile(file, []byte(text), mode)
}

// Package keycmd implements `ryecourse key`: the command that creates customers'
// keys.
//
// A key is printed once and not stored; the configuration contains only its hash.
package keycmd

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/core/keys"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

// New returns the "key" command with its subcommands.
func New() *cli.Command {
	return newCommand(rand.Reader)
}

func newCommand(random io.Reader) *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "create keys for customers",
		Commands: []*cli.Command{{
			Name:  "new",
			Usage: "print a new random key and its hash",
			Description: `The key is printed once and not stored: pass it to the customer. The hash goes
into key_hashes of a configuration file.

Examples:
  ryecourse key new
  ryecourse key new --json | jq -r .hash

Exit codes: 0 success, 1 no random data, 2 wrong usage.`,
			Flags:        []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON object with key and hash"}},
			OnUsageError: usageError,
			Action: func(_ context.Context, cmd *cli.Command) error {
				return printNewKey(cmd, random)
			},
		}},
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err.Error(), exitUsage)
}

// newKey is the JSON output of the new command.
type newKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func printNewKey(cmd *cli.Command, random io.Reader) error {
	if cmd.Args().Present() {
		return cli.Exit("usage: "+cmd.FullName(), exitUsage)
	}
	key, err := keys.New(random)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	c := newKey{Key: key, Hash: keys.Hash(key)}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		return json.NewEncoder(out).Encode(c)
	}
	_, err = fmt.Fprintf(out, "key  %s\nhash %s\n", c.Key, c.Hash)
	return err
}

// Package configcmd implements `ryecourse config`, the commands that check, merge
// and compare the configuration folders of `ryecourse serve` before they are
// published.
//
// The commands write no files. Results go to standard output, diagnostics to
// standard error. The exit code is 0 if no problem was found, 1 if there are
// problems and 2 if the command line is invalid or a folder can't be read.
package configcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

const (
	exitProblems = 1
	exitUsage    = 2
)

const exitCodes = `

Exit codes: 0 no mistakes, 1 mistakes found, 2 wrong usage or unreadable folder.`

// New returns the "config" command with its subcommands.
func New() *cli.Command {
	return &cli.Command{
		Name:     "config",
		Usage:    "check, merge and compare folders of configuration files",
		Commands: []*cli.Command{newCheck(), newMerge(), newDiff()},
	}
}

func newCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "find every mistake in a folder",
		ArgsUsage: "DIR",
		Description: `Prints one line for each mistake: file, field, what is wrong.

Examples:
  ryecourse config check ./configuration
  ryecourse config check --json ./configuration | jq .problems` + exitCodes,
		Flags:        []cli.Flag{jsonFlag("print one JSON object with ok, digest, files and problems")},
		OnUsageError: usageError,
		Action:       check,
	}
}

func newMerge() *cli.Command {
	return &cli.Command{
		Name:      "merge",
		Usage:     "print the merged configuration of a folder",
		ArgsUsage: "DIR",
		Description: `Prints the merged configuration as one JSON object. Files and items with mistakes
are left out, as in a daemon; the mistakes go to standard error.

Examples:
  ryecourse config merge ./configuration
  ryecourse config merge --json ./configuration | jq .customers` + exitCodes,
		Flags:        []cli.Flag{jsonFlag("print the canonical form, in one line without a line feed")},
		OnUsageError: usageError,
		Action:       merge,
	}
}

func newDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "print what changes between two folders",
		ArgsUsage: "OLD-DIR NEW-DIR",
		Description: `Prints one line for each change, name by name: "+" added, "-" removed, "~"
changed. Key hashes are shortened. Mistakes go to standard error.

Examples:
  ryecourse config diff ./published ./edited
  ryecourse config diff --json ./published ./edited | jq -r '.[].name'` + exitCodes,
		Flags:        []cli.Flag{jsonFlag("print a JSON array of changes")},
		OnUsageError: usageError,
		Action:       diff,
	}
}

func jsonFlag(usage string) cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: usage}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return cli.Exit(err.Error(), exitUsage)
}

// readFolders reads the folders that the arguments name.
func readFolders(cmd *cli.Command) ([][]catalog.File, error) {
	want := 1
	if cmd.Name == "diff" {
		want = 2
	}
	if cmd.Args().Len() != want {
		return nil, cli.Exit(fmt.Sprintf("usage: %s %s", cmd.FullName(), cmd.ArgsUsage), exitUsage)
	}
	var folders [][]catalog.File
	for _, dir := range cmd.Args().Slice() {
		files, err := ReadFolder(dir)
		if err != nil {
			return nil, cli.Exit(err.Error(), exitUsage)
		}
		folders = append(folders, files)
	}
	return folders, nil
}

// report is the JSON output of the check command.
type report struct {
	OK       bool              `json:"ok"`
	Digest   string            `json:"digest"`
	Files    int               `json:"files"`
	Problems []catalog.Problem `json:"problems"`
}

func check(_ context.Context, cmd *cli.Command) error {
	folders, err := readFolders(cmd)
	if err != nil {
		return err
	}
	c, problems := catalog.Build(0, folders[0])
	out, errOut := writers(cmd)
	if cmd.Bool("json") {
		r := report{OK: len(problems) == 0, Digest: c.Digest, Files: len(folders[0]), Problems: problems}
		if r.Problems == nil {
			r.Problems = []catalog.Problem{}
		}
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
		return exitError(problems)
	}
	printProblems(out, problems)
	fmt.Fprintf(errOut, "%d files, %d mistakes, digest %s\n", len(folders[0]), len(problems), c.Digest)
	return exitError(problems)
}

func merge(_ context.Context, cmd *cli.Command) error {
	folders, err := readFolders(cmd)
	if err != nil {
		return err
	}
	c, problems := catalog.Build(0, folders[0])
	out, errOut := writers(cmd)
	printProblems(errOut, problems)
	merged, err := c.CanonicalJSON()
	if err != nil {
		return err
	}
	if !cmd.Bool("json") {
		merged = indent(merged)
	}
	if _, err := out.Write(merged); err != nil {
		return err
	}
	return exitError(problems)
}

func indent(merged []byte) []byte {
	var b bytes.Buffer
	if err := json.Indent(&b, merged, "", "  "); err != nil {
		panic(err) // CanonicalJSON returns valid JSON.
	}
	b.WriteByte('\n')
	return b.Bytes()
}

func diff(_ context.Context, cmd *cli.Command) error {
	folders, err := readFolders(cmd)
	if err != nil {
		return err
	}
	before, problemsBefore := catalog.Build(0, folders[0])
	after, problemsAfter := catalog.Build(0, folders[1])
	out, errOut := writers(cmd)
	printProblems(errOut, problemsBefore)
	printProblems(errOut, problemsAfter)
	if err := printChanges(out, cmd.Bool("json"), catalog.Diff(before, after)); err != nil {
		return err
	}
	return exitError(append(problemsBefore, problemsAfter...))
}

func printChanges(out io.Writer, asJSON bool, changes []catalog.Change) error {
	if asJSON {
		if changes == nil {
			changes = []catalog.Change{}
		}
		return json.NewEncoder(out).Encode(changes)
	}
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
	return nil
}

func printProblems(out io.Writer, problems []catalog.Problem) {
	for _, p := range problems {
		fmt.Fprintln(out, p.Error())
	}
}

// exitError returns an error that sets the exit code and prints no message.
func exitError(problems []catalog.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return cli.Exit("", exitProblems)
}

func writers(cmd *cli.Command) (out, errOut io.Writer) {
	root := cmd.Root()
	return root.Writer, root.ErrWriter
}

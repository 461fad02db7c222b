package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of one request and what preceded them",
		ArgsUsage: "REQUEST FILE...",
		Description: "Reads log files of several VMs and prints the lines of the request in the\n" +
			"order of their times, then the last lines without a request that each of\n" +
			"its VMs logged before. A line that can't be parsed is counted and skipped.\n\n" +
			"Example:\n   ryecourse explain 9c41d07be2a35f68 /var/log/ryecourse/*.log",
		Action: explain,
	}
}

// logLine is one line of a log. Text before the JSON object is allowed.
type logLine struct {
	raw     string
	time    string
	vm      string
	event   string
	request string
}

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

func explain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return cli.Exit("explain: a request ID and at least one file are required", ExitUsage)
	}
	var lines []logLine
	unreadable := 0
	for _, name := range args[1:] {
		got, bad, err := readLog(name)
		if err != nil {
			return cli.Exit(err.Error(), ExitError)
		}
		lines, unreadable = append(lines, got...), unreadable+bad
	}
	out := cmd.Root().Writer
	if unreadable > 0 {
		fmt.Fprintf(out, "%d lines could not be read\n", unreadable)
	}
	if !printRequest(out, lines, args[0]) {
		return cli.Exit(fmt.Sprintf("no log line has request %s: it was served in time, or its line was suppressed (see \"suppressed\")", args[0]), ExitError)
	}
	return nil
}

func readLog(name string) (lines []logLine, unreadable int, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		if strings.TrimSpace(sc.Text()) == "" {
			continue
		}
		if l, ok := parseLogLine(sc.Text()); ok {
			lines = append(lines, l)
		} else {
			unreadable++
		}
	}
	return lines, unreadable, sc.Err()
}

func parseLogLine(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields struct {
		Time    string `json:"time"`
		VM      string `json:"vm"`
		Event   string `json:"event"`
		Request string `json:"request"`
	}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return logLine{}, false
	}
	return logLine{raw: text, time: fields.Time, vm: fields.VM, event: fields.Event, request: fields.Request}, true
}

// contextLines is the number of earlier lines printed for each VM.
const contextLines = 8

// printRequest prints the lines of a request and the lines without a request
// that its VMs logged before. It returns false if the request has no line.
func printRequest(out io.Writer, lines []logLine, request string) bool {
	var matching []logLine
	for _, l := range lines {
		if l.request == request {
			matching = append(matching, l)
		}
	}
	if len(matching) == 0 {
		return false
	}
	slices.SortStableFunc(matching, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	fmt.Fprintf(out, "request %s:\n", request)
	vms := map[string]string{}
	for _, l := range matching {
		fmt.Fprintln(out, " ", l.raw)
		vms[l.vm] = l.time
	}
	for vm, until := range vms {
		fmt.Fprintf(out, "earlier lines of %s:\n", vm)
		var before []logLine
		for _, l := range lines {
			if l.vm == vm && l.request == "" && l.time <= until {
				before = append(before, l)
			}
		}
		for _, l := range before[max(0, len(before)-contextLines):] {
			fmt.Fprintln(out, " ", l.raw)
		}
	}
	return true
}

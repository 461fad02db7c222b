package capacity

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Result is one result line of a benchmark's output.
type Result struct {
	// Name is the name of the benchmark without its sub-benchmarks.
	Name string
	// Params are the parts KEY=NUMBER of the sub-benchmark's name.
	Params map[string]float64
	// Variant is the part of the sub-benchmark's name without a number, if any.
	Variant string
	// Metrics are the reported values by unit.
	Metrics map[string]float64
	// Command is the command that printed the line, and Package its last
	// argument without "./internal/".
	Command, Package string
}

// ParseError reports a line that can't be parsed.
type ParseError struct {
	Line   int
	Text   string
	Reason string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("line %d: %s: %q", e.Line, e.Reason, e.Text)
}

const (
	commandPrefix   = "$ "
	benchmarkPrefix = "Benchmark"
)

// procsSuffix matches the GOMAXPROCS suffix of a benchmark's name.
var procsSuffix = regexp.MustCompile(`-\d+$`)

// Parse reads the output of `go test -bench`. A line "$ COMMAND" names the
// command of the lines after it; other lines are skipped.
func Parse(r io.Reader) ([]Result, error) {
	var out []Result
	command := ""
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		switch {
		case strings.HasPrefix(text, commandPrefix):
			command = strings.TrimPrefix(text, commandPrefix)
		case strings.HasPrefix(text, benchmarkPrefix):
			result, reason := parseResult(text)
			if reason != "" {
				return nil, &ParseError{Line: n, Text: text, Reason: reason}
			}
			result.Command = command
			result.Package = packageOf(command)
			out = append(out, result)
		}
	}
	return out, lines.Err()
}

func packageOf(command string) string {
	words := strings.Fields(command)
	if len(words) == 0 {
		return ""
	}
	return strings.TrimPrefix(words[len(words)-1], "./internal/")
}

// parseResult parses one result line. It returns a reason if that fails, otherwise
// an empty string.
func parseResult(text string) (Result, string) {
	fields := strings.Fields(text)
	const minFields = 4
	if len(fields) < minFields || len(fields)%2 != 0 {
		return Result{}, "expected pairs of values and units"
	}
	out := Result{Params: make(map[string]float64), Metrics: make(map[string]float64)}
	parts := strings.Split(procsSuffix.ReplaceAllString(fields[0], ""), "/")
	out.Name = parts[0]
	for _, part := range parts[1:] {
		key, value, numbered := strings.Cut(part, "=")
		if !numbered {
			out.Variant = part
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return Result{}, "parameter value is not a number"
		}
		out.Params[key] = number
	}
	for i := 2; i+1 < len(fields); i += 2 {
		number, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return Result{}, "metric value is not a number"
		}
		out.Metrics[fields[i+1]] = number
	}
	return out, ""
}

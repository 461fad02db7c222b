// Package proptest supports tests that use rapid, with fixed seeds and with checks
// that must fail. Only tests import it.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// seed is the seed of runs without -rapid.seed.
const seed = 20260104

// Main runs the tests of a package with a fixed seed and number of checks, so that
// the results are reproducible. Flags on the command line take precedence.
func Main(m *testing.M, checks int) {
	set("rapid.seed", strconv.Itoa(seed))
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.nofailfile", "true")
	set("rapid.shrinktime", "100ms")
	flag.Parse()
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// FirstFailure checks a property that should not hold. It returns the message of the
// first failure, or an empty string if the property holds.
func FirstFailure(prop func(*rapid.T)) string {
	r := &recorder{}
	func() {
		defer func() {
			if p := recover(); p != nil && p != any(r) {
				panic(p)
			}
		}()
		rapid.Check(r, prop)
	}()
	return r.first
}

// recorder is a rapid.TB that records the first error. FailNow panics with the
// recorder to end the check.
type recorder struct {
	testing.TB
	first string
}

func (r *recorder) Helper()             {}
func (r *recorder) Name() string        { return "naive" }
func (r *recorder) Logf(string, ...any) {}
func (r *recorder) Log(...any)          {}
func (r *recorder) Failed() bool        { return r.first != "" }
func (r *recorder) FailNow()            { panic(r) }

func (r *recorder) Errorf(format string, args ...any) {
	if r.first == "" {
		r.first = fmt.Sprintf(format, args...)
	}
}

// Fatalf is called during the final run of the shrunk case.
func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	r.FailNow()
}

// Package proptest helps tests that use rapid: fixed seeds, and checks that must
// fail. Only tests import it.
package proptest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// seed is the seed of every run without -rapid.seed.
const seed = 20260104

// Main runs the tests of a package with a fixed seed and number of checks, so
// that every run gives the same verdict. Flags on the command line take
// precedence.
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

// FirstFailure checks a property that should not hold and returns the first error,
// or nothing if the property holds.
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

// recorder is a rapid.TB that keeps the first error. It ends a failed check by a
// panic with itself.
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

// Fatalf is called while the shrunk case runs once more.
func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	r.FailNow()
}

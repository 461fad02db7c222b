package lease_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the property tests reproducible. Flags on the command line
// take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

package metadata

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the property tests repeat themselves; flags on the command
// line go first.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

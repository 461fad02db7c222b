package scatter

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of property checks, so that every run
// gives the same verdict. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	defaults := map[string]string{
		"rapid.seed":       "20260104",
		"rapid.checks":     "15000",
		"rapid.nofailfile": "true",
		"rapid.shrinktime": "100ms",
	}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

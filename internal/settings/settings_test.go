package settings

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		s, err := Parse("vm.json", []byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		return s.Fleet + " " + s.VM + " " + s.Zone + " " + s.LogLevel + "\n"
	})
}

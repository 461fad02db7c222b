package cli

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(bad, []byte(`{"fleet":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	datadriven.RunTest(t, "testdata/exit", func(t *testing.T, d *datadriven.TestData) string {
		var out, errOut bytes.Buffer
		args := strings.Fields(strings.ReplaceAll(d.Input, "BAD", bad))
		code := Run(context.Background(), append([]string{"ryecourse"}, args...), &out, &errOut)
		return fmt.Sprintf("%d\n", code)
	})
}

package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.log", `{"vm":"a","event":"store_lost","time":"2026-01-01T00:00:01Z"}
half a line
 3.5 a {"vm":"a","event":"request","request":"r1","outcome":"knowledge_too_old","time":"2026-01-01T00:00:03Z"}
{"vm":"a","event":"store_regained","time":"2026-01-01T00:00:09Z"}
`)
	b := write("b.log", `{"vm":"b","event":"request","request":"r2","time":"2026-01-01T00:00:02Z"}
{"vm":"b","event":"request","request":"r1","outcome":"partial","time":"2026-01-01T00:00:02Z"}
`)
	var out, errOut bytes.Buffer
	if code := Run(context.Background(), []string{"ryecourse", "explain", "r1", a, b}, &out, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	got := out.String()
	partial, old, lost := strings.Index(got, "partial"), strings.Index(got, "too_old"), strings.Index(got, "store_lost")
	if partial < 0 || old < partial || lost < old || strings.Contains(got, "r2") || strings.Contains(got, "regained") {
		t.Errorf("output is:\n%s", got)
	}
	if !strings.Contains(got, "1 lines could not be read") {
		t.Errorf("the unreadable line isn't counted:\n%s", got)
	}
	if code := Run(context.Background(), []string{"ryecourse", "explain", "r3", a}, &out, &errOut); code != ExitError {
		t.Errorf("exit code of an unknown request is %d", code)
	}
	if code := Run(context.Background(), []string{"ryecourse", "explain", "r3"}, &out, &errOut); code != ExitUsage {
		t.Errorf("exit code without a file is %d", code)
	}
}

package eventlog

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

type buffer struct {
	mu sync.Mutex
	b  []byte
}

func (w *buffer) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.b = append(w.b, b...)
	return len(b), nil
}

func (w *buffer) lines(t *testing.T) []map[string]any {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []map[string]any
	for line := range strings.Lines(string(w.b)) {
		m := map[string]any{}
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		out = append(out, m)
	}
	return out
}

func TestLinesOfAClassAreBoundedAndCounted(t *testing.T) {
	out := &buffer{}
	l := New(out, "vm-1")
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	for range 1000 {
		l.Outcome("request", "partial").Send()
	}
	l.Outcome("request", "timed_out").Send()
	now = now.Add(time.Second)
	l.Outcome("request", "partial").Send()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	lines := out.lines(t)
	if len(lines) != linesPerSecond+2 {
		t.Fatalf("%d lines were written", len(lines))
	}
	if line := lines[linesPerSecond]; line["outcome"] != "timed_out" || line["vm"] != "vm-1" {
		t.Errorf("line of the rare outcome: %v", line)
	}
	if last := lines[len(lines)-1]; last["suppressed"] != float64(1000-linesPerSecond) {
		t.Errorf("last line: %v", last)
	}
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	l := New(s, "vm-1")
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * queueLines {
			now = now.Add(time.Second)
			l.Event("start").Send()
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("writing to the log blocks")
	}
	close(s.release)
}

// TestFieldsAndEventsAreDocumented requires that docs/OPERATIONS.md names every
// event and field that the gateway's sources log.
func TestFieldsAndEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	field := regexp.MustCompile(`\.(?:Str|Strs|Int|Int64|Uint64|Dur|Bool|Stringer)\("([a-z_]+)"|addErr\(e, "([a-z_]+)"`)
	event := regexp.MustCompile(`\.(?:Event|Warning|Failure|Outcome)\("([a-z_]+)"`)
	names := []string{"level", "time", "vm"}
	for _, dir := range []string{"eventlog", "gateway", "gatewaydaemon", "fleetrpc", "metadatasync"} {
		files, err := filepath.Glob("../" + dir + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			for _, re := range []*regexp.Regexp{field, event} {
				for _, m := range re.FindAllStringSubmatch(string(text), -1) {
					names = append(names, strings.Join(m[1:], ""))
				}
			}
		}
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md doesn't name %q", name)
		}
	}
}

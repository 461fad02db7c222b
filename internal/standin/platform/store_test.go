package platform

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

func write(t *testing.T, dir, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newStore(t *testing.T, now time.Time) (*Store, string) {
	t.Helper()
	dir := t.TempDir()
	write(t, dir, "vms", `{"vms":[{"id":"vm-1","zone":"cz-a","state":"live"}]}`)
	write(t, dir, "10-a.json", `{}`)
	s, err := NewStore(dir, filepath.Join(dir, "vms"), 100, now)
	if err != nil {
		t.Fatal(err)
	}
	return s, dir
}

// TestRevisionGrowsOnlyOnChange publishes an added, an unchanged and a
// deleted file.
func TestRevisionGrowsOnlyOnChange(t *testing.T) {
	now := time.Unix(1000, 0)
	s, dir := newStore(t, now)
	r := NewReplica(s)
	start := r.folder(now)
	if len(start.files) != 1 || start.files[0].Revision != start.revision {
		t.Fatalf("first folder: %+v", start)
	}
	poll := func() folder {
		now = now.Add(time.Second)
		if err := s.Poll(now); err != nil {
			t.Fatal(err)
		}
		return r.folder(now)
	}
	if got := poll(); got.revision != start.revision {
		t.Errorf("revision %d without a change, want %d", got.revision, start.revision)
	}
	write(t, dir, "20-b.json", `{"zones":{}}`)
	write(t, dir, "notes.txt", `not published`)
	added := poll()
	if len(added.files) != 2 || added.files[0].Revision != start.revision || added.files[1].Revision != added.revision {
		t.Errorf("after an added file: %+v", added)
	}
	if err := os.Remove(filepath.Join(dir, "10-a.json")); err != nil {
		t.Fatal(err)
	}
	deleted := poll()
	if len(deleted.files) != 1 || deleted.revision <= added.revision {
		t.Errorf("after a deleted file: %+v", deleted)
	}
}

// TestFaultsShowOldStatesUntilTheyEnd sets a lag and a pinned revision.
func TestFaultsShowOldStatesUntilTheyEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	s, dir := newStore(t, now)
	r := NewReplica(s)
	old := r.folder(now).revision
	write(t, dir, "20-b.json", `{}`)
	now = now.Add(time.Second)
	if err := s.Poll(now); err != nil {
		t.Fatal(err)
	}
	newest := r.folder(now).revision
	if newest == old {
		t.Fatal("no new revision")
	}
	for name, f := range map[string]Fault{
		"lag":    {LagMS: 500, DurationMS: 100},
		"behind": {RevisionsBehind: 1, DurationMS: 100},
	} {
		r.SetFault(f, now)
		if got := r.folder(now).revision; got != old {
			t.Errorf("%s: serves %d, want the old %d", name, got, old)
		}
		if got := r.folder(now.Add(200 * time.Millisecond)).revision; got != newest {
			t.Errorf("%s: serves %d after its end, want %d", name, got, newest)
		}
	}
}

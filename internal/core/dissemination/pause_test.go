package dissemination

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// TestReadyWaitsForNamedFiles pauses a daemon during a change. After the pause the
// service returns the index of a newer folder version. The daemon must not serve
// before it has that version's files.
func TestReadyWaitsForNamedFiles(t *testing.T) {
	self := membership.VM{ID: "vm-1", Zone: "z", PeerAddress: "127.0.0.1:1"}
	s := New(Settings{Self: self}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	config := func(actions []Action) Seq {
		for _, a := range actions {
			if w, ok := a.(WatchConfig); ok {
				return w.Seq
			}
		}
		return 0
	}
	ready := func(actions []Action) bool {
		for _, a := range actions {
			if _, ok := a.(Ready); ok {
				return true
			}
		}
		return false
	}
	s.Tick(now)
	s.OnList(now, 1, &membership.List{Revision: 1, VMs: []membership.VM{self}})
	file := []byte(customerFile("a", 1))
	seq := config(s.Tick(now.Add(time.Second)))
	now = now.Add(time.Second)
	s.OnFolder(now, seq, 2, []catalog.FileRevision{{Name: "10-a.json", Revision: 2}})
	got := s.OnFetchedFile(now, catalog.File{Name: "10-a.json", Revision: 2, Content: file})
	got = append(got, s.Tick(now)...)
	if !ready(got) {
		t.Fatalf("not ready at first: %v", got)
	}
	now = now.Add(5 * time.Second)
	seq = config(s.Tick(now))
	got = s.OnFolder(now, seq, 3, []catalog.FileRevision{{Name: "10-a.json", Revision: 3}})
	got = append(got, s.Tick(now)...)
	if ready(got) {
		t.Error("ready before the newer file arrived")
	}
	got = s.OnFetchedFile(now, catalog.File{Name: "10-a.json", Revision: 3, Content: []byte(customerFile("b", 1))})
	got = append(got, s.Tick(now)...)
	if !ready(got) {
		t.Error("not ready afterwards")
	}
}

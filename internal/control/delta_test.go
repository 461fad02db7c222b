package control

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
)

func drawVMs(t *rapid.T) []membership.VM {
	out := []membership.VM{}
	for i := range 12 {
		if rapid.Bool().Draw(t, "listed") {
			out = append(out, membership.VM{ID: fmt.Sprintf("vm-%02d", i), Leaving: rapid.Bool().Draw(t, "leaving")})
		}
	}
	return out
}

func drawNames(t *rapid.T) []catalog.FileRevision {
	out := []catalog.FileRevision{}
	for i := range 12 {
		if rapid.Bool().Draw(t, "published") {
			out = append(out, catalog.FileRevision{Name: fmt.Sprintf("%02d.json", i), Revision: rapid.Uint64Range(1, 3).Draw(t, "revision")})
		}
	}
	return out
}

// TestChangeRoundTrip checks that applying the change between two random states to
// the first yields the second.
func TestChangeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawVMs(t), drawVMs(t)
		if got := changeOf(base, next, vmKey).apply(base, vmKey); !reflect.DeepEqual(got, next) {
			t.Fatalf("got %v, want %v", got, next)
		}
		a, b := drawNames(t), drawNames(t)
		if got := changeOf(a, b, fileKey).apply(a, fileKey); !reflect.DeepEqual(got, b) {
			t.Fatalf("got %v, want %v", got, b)
		}
	})
}

func TestChangeOfOneVMIsSmall(t *testing.T) {
	var base []membership.VM
	for i := range 2100 {
		base = append(base, membership.VM{ID: fmt.Sprintf("vm-%04d", i)})
	}
	next := append([]membership.VM(nil), base...)
	next[7].Leaving = true
	if c := changeOf(base, next, vmKey); len(c.Changed) != 1 || len(c.Removed) != 0 {
		t.Fatalf("change %v", c)
	}
}

func TestHistoryEvictsOldest(t *testing.T) {
	h := newHistory[int, string]()
	for i := range historyLength + 1 {
		h.add(i, "state")
	}
	if _, ok := h.get(0); ok {
		t.Fatal("the oldest state was not evicted")
	}
	if _, ok := h.get(1); !ok {
		t.Fatal("the second oldest state was evicted")
	}
}

// TestListSentAsChange sends a list to a peer that is one revision behind, to one
// without a list, and to one whose list has changed before the response arrives.
func TestListSentAsChange(t *testing.T) {
	one := &membership.List{Revision: 1, VMs: []membership.VM{{ID: "a"}, {ID: "b"}}}
	two := &membership.List{Revision: 2, VMs: []membership.VM{{ID: "b", Leaving: true}, {ID: "c"}}}
	c := &Control{listHistory: newHistory[uint64, *membership.List]()}
	c.listHistory.add(1, one)
	c.listHistory.add(2, two)

	behind := &peerv1.ExchangeResponse{}
	c.setList(behind, two, 1)
	if behind.GetList() != nil || !reflect.DeepEqual(listFromResponse(behind, one), two) {
		t.Fatalf("one revision behind: %v", behind)
	}
	if got := listFromResponse(behind, two); got != nil {
		t.Fatalf("a change from another list was applied: %v", got)
	}
	unknown := &peerv1.ExchangeResponse{}
	c.setList(unknown, two, 0)
	if !reflect.DeepEqual(listFromResponse(unknown, nil), two) {
		t.Fatalf("peer without a list: %v", unknown)
	}
}

// TestFilesSentAsChange pulls a modified and a deleted file as a change, and then
// the full set.
func TestFilesSentAsChange(t *testing.T) {
	file := func(name string, revision uint64) catalog.File {
		return catalog.File{Name: name, Revision: revision, Content: []byte(`{}`)}
	}
	set := func(version uint64, files ...catalog.File) *catalog.FileSet {
		a := catalog.NewAcceptor()
		o := catalog.Offer{Version: version, Files: files}
		for _, f := range files {
			o.Index = append(o.Index, f.ID())
		}
		if d := a.Offer(o); d.Outcome != catalog.Accepted {
			t.Fatal(d.Outcome)
		}
		return a.Files()
	}
	one := set(3, file("a.json", 1), file("b.json", 2), file("c.json", 3))
	two := set(5, file("a.json", 1), file("b.json", 4))
	resp := changedFilesResponse(one, two)
	if len(resp.GetAll()) != 1 || len(resp.GetFiles()) != 1 || !reflect.DeepEqual(indexFromResponse(resp, one), two.Index) {
		t.Fatalf("changed %v", resp)
	}
	whole := fullFilesResponse(two, nil)
	if len(whole.GetFiles()) != 2 || !reflect.DeepEqual(indexFromResponse(whole, one), two.Index) {
		t.Fatalf("full response %v", whole)
	}
}

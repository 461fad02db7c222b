package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// TestLeavingInstanceIsNotPickedAgain guards against an announcement that brings an
// instance back which has stated that it leaves: the store's record is older, also when
// it lapsed meanwhile.
func TestLeavingInstanceIsNotPickedAgain(t *testing.T) {
	p := picker("a", "a")
	a := pick(t, p, 0)
	if !p.MarkLeaving(a, at(1)) || p.MarkLeaving(a, at(2)) {
		t.Error("the first statement is news, the second isn't")
	}
	p.Done(a, at(2), Answered, nil)
	all := instances("a", "a")
	for i, upstreams := range []map[string][]routetable.Upstream{all, {}, all} {
		p.Update(at(10+i), upstreams, nil, nil)
	}
	if got := pickCounts(t, p, 100, 200); got[a.Upstream.ID] != 0 {
		t.Errorf("%d picks of the leaving instance", got[a.Upstream.ID])
	}
	restarted := instances("a", "a")
	for i := range restarted["s"] {
		restarted["s"][i].Born = 2
	}
	p.Update(at(500), restarted, nil, nil)
	if got := pickCounts(t, p, 600, 200); got[a.Upstream.ID] == 0 {
		t.Error("the next run of the instance isn't picked")
	}
}

// TestLastReplicaIsUsedForAWhileThoughItLeaves checks what callers of a shard get whose
// only instance leaves.
func TestLastReplicaIsUsedForAWhileThoughItLeaves(t *testing.T) {
	p := picker("a")
	p.SetLeavingGrace(time.Second)
	a := pick(t, p, 0)
	p.MarkLeaving(a, at(0))
	if b := pick(t, p, 900); p.Excluded(b, at(950)) != Usable || p.Excluded(b, at(1000)) != Closed {
		t.Error("the grace doesn't end at 1 s")
	}
	if b, _ := p.Pick(at(1000), Request{Service: "s"}); b != nil {
		t.Error("the instance is picked after the grace")
	}
}

// TestClosedInstanceGetsNoRequests checks the time that instances state when they take no
// requests of this VM, in drawn orders of statements and picks.
func TestClosedInstanceGetsNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPicker("a", rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))), nil)
		p.Update(start, instances("a", "a", "b"), nil, nil)
		until := map[string]time.Time{}
		now := start
		var waiting []*Attempt
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			a, shortage := p.Pick(now, Request{Service: "s", TypicalLatency: typicalLatency})
			if a == nil {
				first := time.Duration(0)
				for _, u := range until {
					if left := u.Sub(now); first == 0 || left < first {
						first = left
					}
				}
				if len(until) != 3 || shortage.OpensIn != first {
					t.Fatalf("nothing is picked; first opens in %v, stated %v", first, shortage.OpensIn)
				}
				continue
			}
			if now.Before(until[a.Upstream.ID]) {
				t.Fatalf("%s is picked %v before it opens", a.Upstream.ID, until[a.Upstream.ID].Sub(now))
			}
			waiting = append(waiting, a)
			if rapid.Bool().Draw(t, "closes") {
				d := time.Duration(rapid.IntRange(1, 3000).Draw(t, "closed")) * time.Millisecond
				if p.MarkClosed(a, now, d) != d {
					t.Fatal("the time was changed")
				}
				if u := now.Add(d); u.After(until[a.Upstream.ID]) {
					until[a.Upstream.ID] = u
				}
			}
			for _, w := range waiting {
				want := Usable
				if now.Before(until[w.Upstream.ID]) {
					want = Closed
				}
				if got := p.Excluded(w, now); got != want {
					t.Fatalf("attempt at %s that waited is %q, want %q", w.Upstream.ID, got, want)
				}
			}
		}
	})
	p := picker("a")
	if d := p.MarkClosed(pick(t, p, 0), at(0), 1e9*time.Second); d != maxClosedTime {
		t.Errorf("closed for %v", d)
	}
}

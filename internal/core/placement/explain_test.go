package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// TestExplainNamesThePick checks against random histories that the first candidate is the
// one that is picked where the scores differ by more than chance, that excluded instances
// aren't picked, and that questions change nothing.
func TestExplainNamesThePick(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 1))
	zones := []string{"a", "a", "b", "b", "c", "c"}
	explained, plain := picker(zones...), picker(zones...)
	list := instances(zones...)
	list["s"][3].Draining = true
	list["s"][4].Cold = time.Hour
	none := func(routetable.Upstream) (float64, bool) { return 0, true }
	for _, p := range []*Picker{explained, plain} {
		p.Update(start, list, map[string]bool{"none": true}, none)
	}
	request := Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 0.5}
	clear := 0
	for i := range 3000 {
		now := at(i)
		var c []Candidate
		for range 3 {
			c = explained.Explain(now, request)
		}
		picked, _ := explained.Pick(now, request)
		other, _ := plain.Pick(now, request)
		if picked.Upstream.ID != other.Upstream.ID {
			t.Fatalf("pick %d is %s with questions and %s without", i, picked.Upstream.ID, other.Upstream.ID)
		}
		for _, candidate := range c {
			if candidate.Instance == picked.Upstream.ID && candidate.Excluded != Usable {
				t.Fatalf("pick %d is %s, which is excluded: %s", i, candidate.Instance, candidate.Excluded)
			}
		}
		if c[1].Score-c[0].Score > ScoreJitter {
			if clear++; picked.Upstream.ID != c[0].Instance {
				t.Fatalf("pick %d is %s, the candidates are %+v", i, picked.Upstream.ID, c)
			}
		}
		outcome := []Outcome{Answered, Answered, Answered, Failed, Rejected, Canceled}[rng.IntN(6)]
		load := &Load{Running: rng.IntN(4), Queued: rng.IntN(2), Slots: 2}
		end := now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
		explained.Done(picked, end, outcome, load)
		plain.Done(other, end, outcome, load)
	}
	if clear < 1000 {
		t.Errorf("chance decided in all but %d of 3000 picks", clear)
	}
}

// TestExplainSaysWhyInstancesAreExcluded checks each reason.
func TestExplainSaysWhyInstancesAreExcluded(t *testing.T) {
	p := picker("a", "a", "a", "b", "a", "a")
	list := instances("a", "a", "a", "b", "a", "a")
	list["s"][1].Draining = true
	list["s"][2].Cold = time.Hour
	p.limits = noneAt("u5")
	p.Update(start, list, map[string]bool{"b": true}, func(routetable.Upstream) (float64, bool) { return 0, true })
	p.instances["u4"].replaced = true
	a := pick(t, p, 0)
	if a.Upstream.ID != "u0" {
		t.Fatalf("%s was picked", a.Upstream.ID)
	}
	want := map[string]Exclusion{"u0": Usable, "u1": Draining, "u2": Cold, "u3": Evacuated, "u4": Replaced, "u5": AtLimit}
	for _, c := range p.Explain(at(0), Request{Service: "s"}) {
		if c.Excluded != want[c.Instance] {
			t.Errorf("%s is excluded as %q, want %q", c.Instance, c.Excluded, want[c.Instance])
		}
	}
	p.MarkClosed(a, at(0), time.Second)
	if c := p.Explain(at(100), Request{Service: "s"}); len(c) != 6 || c[0].Excluded == Usable {
		t.Errorf("the candidates are %+v", c)
	} else {
		for _, candidate := range c {
			if candidate.Instance == "u0" && (candidate.Excluded != Closed || candidate.OpensIn != 900*time.Millisecond) {
				t.Errorf("a closed instance is %+v", candidate)
			}
		}
	}
}

// noneAt admits no attempt at one instance.
type noneAt string

func (n noneAt) Admit(instance string) (bool, float64) { return n.Peek(instance) }

func (n noneAt) Peek(instance string) (bool, float64) {
	if instance == string(n) {
		return false, 0
	}
	return true, 1
}

func (n noneAt) Cancel(string) {}

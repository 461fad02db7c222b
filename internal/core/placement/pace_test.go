package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// fixedPace holds back the instances that it lists.
type fixedPace struct {
	returning map[string]bool
	admit     bool
	begun     []string
}

func (f *fixedPace) Version() uint64                    { return uint64(len(f.returning)) }
func (f *fixedPace) Begin(_ time.Time, instance string) { f.begun = append(f.begun, instance) }
func (f *fixedPace) Returning(instance string) (returning, answers bool) {
	return f.returning[instance], true
}
func (f *fixedPace) Admit(time.Time, string, time.Duration) bool          { return f.admit }
func (f *fixedPace) Answered(_, _ time.Time, _ string, _ float64, _ bool) {}
func (f *fixedPace) Unanswered(_, _ time.Time, _ string, _ float64)       {}
func (f *fixedPace) Lost(_, _ time.Time, _ string)                        {}
func (f *fixedPace) Rejected(_, _ time.Time, _ string)                    {}

func pacedPicker(f *fixedPace, zones ...string) *Picker {
	p := NewPicker("a", rand.New(rand.NewPCG(1, 2)), nil)
	p.SetPace(f)
	p.Update(start, instances(zones...), nil, nil)
	return p
}

func TestHeldBackInstanceIsPassedOver(t *testing.T) {
	p := pacedPicker(&fixedPace{returning: map[string]bool{"u0": true}}, "a", "b")
	if got := pickCounts(t, p, 0, 50); got["u0"] != 0 {
		t.Errorf("picks are %v, want none of u0", got)
	}
}

// TestOnlyInstanceIsServedWhileItReturns guards against shards that fail as their only
// instance is held back.
func TestOnlyInstanceIsServedWhileItReturns(t *testing.T) {
	p := pacedPicker(&fixedPace{returning: map[string]bool{"u0": true}}, "a")
	if got := pickCounts(t, p, 0, 50); got["u0"] != 50 {
		t.Errorf("picks are %v, want all of u0", got)
	}
}

func TestInstancesThatAllReturnShareTheWork(t *testing.T) {
	p := pacedPicker(&fixedPace{returning: map[string]bool{"u0": true, "u1": true}}, "a", "a")
	if got := pickCounts(t, p, 0, 100); got["u0"] < 25 || got["u1"] < 25 {
		t.Errorf("picks are %v, want about half each", got)
	}
}

func TestHeldBackInstanceGetsNoHedge(t *testing.T) {
	p := pacedPicker(&fixedPace{returning: map[string]bool{"u1": true}}, "a", "a")
	first := pick(t, p, 0)
	if a, _ := p.Pick(at(5), Request{Service: "s", TypicalLatency: typicalLatency, Tried: []*Instance{first.Instance}}); a != nil {
		t.Errorf("a hedge was sent to %s", a.Upstream.ID)
	}
}

// TestAdmittedReturnIsntLeftIdle guards against an instance that stays idle for what was
// observed before it returned.
func TestAdmittedReturnIsntLeftIdle(t *testing.T) {
	f := &fixedPace{returning: map[string]bool{}, admit: true}
	p := pacedPicker(f, "a", "b")
	for range 5 {
		a := pick(t, p, 0)
		for a.Upstream.ID != "u0" {
			a = pick(t, p, 0)
		}
		p.Done(a, at(1), Failed, nil)
		p.instances["u0"].penalty = 0 // so that it is picked again
	}
	p.instances["u0"].penalty = maxPenalty
	f.returning["u0"] = true
	if a := pick(t, p, 2); a.Upstream.ID != "u0" {
		t.Error("the returning instance isn't picked though its pace admits it")
	}
}

// TestPaceNeverExceedsAColdLimit guards against a pace that admits more than the limit that
// a service states for its cold instances.
func TestPaceNeverExceedsAColdLimit(t *testing.T) {
	p := NewPicker("a", rand.New(rand.NewPCG(1, 2)), nil)
	f := &fixedPace{returning: map[string]bool{"u0": true}, admit: true}
	p.SetPace(f)
	list := instances("a")
	list["s"][0].Cold = 10 * time.Second
	p.Update(start, list, nil, func(routetable.Upstream) (float64, bool) { return 2, true })
	sent := 0
	for ms := 0; ms < 1000; ms += 10 {
		if a, _ := p.Pick(at(ms), Request{Service: "s", TypicalLatency: typicalLatency}); a != nil {
			sent++
			p.Done(a, at(ms), Answered, nil)
		}
	}
	if sent != 2 {
		t.Errorf("%d requests were sent in a second, 2 allowed", sent)
	}
	if len(f.begun) != 0 {
		t.Error("a return began beside the limit")
	}
}

func TestNewAndColdInstancesReturn(t *testing.T) {
	f := &fixedPace{}
	p := pacedPicker(f, "a")
	if len(f.begun) != 0 {
		t.Errorf("%v of the first view returns", f.begun)
	}
	list := instances("a", "a")
	p.Update(at(10), list, nil, nil)
	list["s"][0].Cold = 3 * time.Second
	p.Update(at(20), list, nil, nil)
	list["s"][0].Cold = 2 * time.Second // the same period, announced later
	p.Update(at(1020), list, nil, nil)
	if len(f.begun) != 2 || f.begun[0] != "u1" || f.begun[1] != "u0" {
		t.Errorf("the returns of %v began, want those of u1 and u0", f.begun)
	}
}

// TestSteadyPicksAreAsWithoutAPace guards the choice among instances that aren't returning.
func TestSteadyPicksAreAsWithoutAPace(t *testing.T) {
	with, without := pacedPicker(&fixedPace{}, "a", "a", "b"), picker("a", "a", "b")
	for i := range 500 {
		a, b := pick(t, with, i), pick(t, without, i)
		if a.Upstream.ID != b.Upstream.ID {
			t.Fatalf("pick %d is %s, %s without a pace", i, a.Upstream.ID, b.Upstream.ID)
		}
		with.Done(a, at(i+20), Answered, nil)
		without.Done(b, at(i+20), Answered, nil)
	}
}

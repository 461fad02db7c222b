package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

var start = time.Unix(100, 0)

const typicalLatency = 10 * time.Millisecond

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// picker returns a picker in zone "a" with one instance in each of the zones.
func picker(zones ...string) *Picker {
	p := NewPicker("a", rand.New(rand.NewPCG(1, 2)), nil)
	p.Update(start, instances(zones...), nil, nil)
	return p
}

func instances(zones ...string) map[string][]routetable.Upstream {
	var list []routetable.Upstream
	for i, z := range zones {
		list = append(list, routetable.Upstream{
			ID: fmt.Sprint("u", i), Service: "s", Zone: z, Slots: 2, Address: fmt.Sprintf("10.0.0.%d:80", i), Born: 1,
		})
	}
	return map[string][]routetable.Upstream{"s": list}
}

func pick(t *testing.T, p *Picker, ms int) *Attempt {
	t.Helper()
	a, _ := p.Pick(at(ms), Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1})
	if a == nil {
		t.Fatal("no instance was picked")
	}
	return a
}

// pickCounts returns the number of picks of each instance over n short
// requests.
func pickCounts(t *testing.T, p *Picker, from, n int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for i := range n {
		a := pick(t, p, from+i)
		out[a.Upstream.ID]++
		p.Done(a, at(from+i).Add(typicalLatency), Answered, nil)
	}
	return out
}

func TestTheOwnZoneIsPreferred(t *testing.T) {
	p := picker("b", "a", "c")
	if got := pickCounts(t, p, 0, 50); got["u1"] != 50 {
		t.Errorf("picks are %v, want all in the own zone", got)
	}
}

func TestAFullInstanceOfTheOwnZoneIsPassedOver(t *testing.T) {
	p := picker("a", "b")
	p.Done(pick(t, p, 0), at(10), Answered, &Load{Running: 2, Queued: 4, Slots: 2})
	if a := pick(t, p, 11); a.Upstream.ID != "u1" {
		t.Error("the loaded instance was picked")
	}
}

// TestAnInstanceThatRejectsThoughItIsIdleIsAvoided simulates an instance in the
// own zone that rejects 40% of its requests while it reports free slots. If
// rejections counted as the sign of a full instance, 17 of the 600 requests
// would be rejected.
func TestAnInstanceThatRejectsThoughItIsIdleIsAvoided(t *testing.T) {
	p := picker("a", "b", "c")
	rng := rand.New(rand.NewPCG(3, 4))
	rejected := 0
	const requests, spacing = 600, 100 // ms
	for i := range requests {
		a := pick(t, p, i*spacing)
		idle := &Load{Running: 0, Slots: 2}
		if a.Upstream.ID == "u0" && rng.Float64() < 0.4 {
			rejected++
			p.Done(a, at(i*spacing+1), Rejected, idle)
			continue
		}
		p.Done(a, at(i*spacing).Add(typicalLatency), Answered, idle)
	}
	t.Logf("%d of %d requests rejected", rejected, requests)
	if rejected*50 > requests {
		t.Errorf("%d of %d requests were rejected by the instance", rejected, requests)
	}
}

func TestAFullInstanceIsAvoidedOnlyForAMoment(t *testing.T) {
	p := picker("a", "b")
	p.Done(pick(t, p, 0), at(1), Rejected, &Load{Running: 2, Queued: 3, Slots: 2})
	if a := pick(t, p, 50); a.Upstream.ID != "u1" {
		t.Error("the full instance was picked at once")
	}
	if got := pickCounts(t, p, 2500, 20); got["u0"] == 0 {
		t.Errorf("picks are %v long after the instance was full", got)
	}
}

func TestAPausedInstanceIsAvoidedUntilItAnswers(t *testing.T) {
	p := picker("a", "b")
	stuck := pick(t, p, 0)
	if stuck.Upstream.ID != "u0" {
		t.Fatal("the instance in the own zone wasn't picked")
	}
	if got := pickCounts(t, p, 60, 20); got["u0"] != 0 {
		t.Errorf("picks are %v while an attempt is overdue", got)
	}
	p.Done(stuck, at(100), Answered, nil)
	if got := pickCounts(t, p, 8000, 20); got["u0"] != 20 {
		t.Errorf("picks are %v long after the pause", got)
	}
}

func TestSlowInstanceGetsFewerPicks(t *testing.T) {
	p := picker("a", "b")
	for i := range 6 {
		a, _ := p.Pick(at(i), Request{Service: "s", TypicalLatency: typicalLatency, Tried: []*Instance{p.instances["u1"]}, ExtraAttemptScarcity: 1})
		p.Done(a, at(i).Add(8*typicalLatency), Answered, nil)
	}
	if got := pickCounts(t, p, 60, 20); got["u0"] > 2 {
		t.Errorf("picks are %v after slow answers", got)
	}
}

func TestSilentInstanceIsAvoidedAfterItsAttemptsWereCanceled(t *testing.T) {
	p := picker("a", "b")
	for i := range 3 {
		a := pick(t, p, i)
		p.Done(a, at(1000+i), Canceled, nil)
	}
	if got := pickCounts(t, p, 1100, 20); got["u0"] != 0 {
		t.Errorf("picks are %v after attempts without an answer", got)
	}
}

func TestAFailingInstanceIsAvoidedAndTriedAgain(t *testing.T) {
	p := picker("a", "b")
	for i := range 3 {
		a, _ := p.Pick(at(i), Request{Service: "s", TypicalLatency: typicalLatency, Tried: []*Instance{p.instances["u1"]}, ExtraAttemptScarcity: 1})
		p.Done(a, at(i), Failed, nil)
	}
	if got := pickCounts(t, p, 10, 20); got["u0"] != 0 {
		t.Errorf("picks are %v right after failures", got)
	}
	if got := pickCounts(t, p, 20_000, 20); got["u0"] == 0 {
		t.Error("the instance is never tried again")
	}
}

func TestDrainingAndEvacuatedInstancesAreNotPicked(t *testing.T) {
	for name, change := range map[string]func(u *routetable.Upstream, evacuated map[string]bool){
		"draining":  func(u *routetable.Upstream, _ map[string]bool) { u.Draining = true },
		"evacuated": func(u *routetable.Upstream, e map[string]bool) { e[u.Zone] = true },
	} {
		t.Run(name, func(t *testing.T) {
			p := picker("a")
			list, evacuated := instances("a"), map[string]bool{}
			change(&list["s"][0], evacuated)
			p.Update(start, list, evacuated, nil)
			if a, _ := p.Pick(start, Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1}); a != nil {
				t.Error("the instance was picked")
			}
			p.Update(start, instances("a"), nil, nil)
			if a, _ := p.Pick(start, Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1}); a == nil {
				t.Error("the instance isn't picked after its return")
			}
		})
	}
}

func TestReplacedInstanceIsNotPickedUntilItsNextStart(t *testing.T) {
	p := picker("a")
	p.Done(pick(t, p, 0), at(0), WrongInstance, nil)
	if a, _ := p.Pick(at(1), Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1}); a != nil {
		t.Error("the instance was picked")
	}
	p.Update(at(2), instances("a"), nil, nil)
	if a, _ := p.Pick(at(2), Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1}); a != nil {
		t.Error("the instance was picked after a heartbeat")
	}
	again := instances("a")
	again["s"][0].Born = 2
	p.Update(at(3), again, nil, nil)
	if a, _ := p.Pick(at(3), Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1}); a == nil {
		t.Error("the instance isn't picked after its next start")
	}
}

// TestColdInstancesKeepTheirRate simulates fleets of pickers that try to send
// far more requests than a cold instance's limit allows.
func TestColdInstancesKeepTheirRate(t *testing.T) {
	for _, vms := range []int{1, 9, 69} {
		const limit = 11.0
		list := instances("a")
		list["s"][0].Cold = 10 * time.Second
		var pickers []*Picker
		for rank := range vms {
			p := NewPicker("a", rand.New(rand.NewPCG(uint64(rank), 3)), nil)
			p.Update(start, list, nil, func(routetable.Upstream) (float64, bool) { return ColdShare(limit, vms, rank), true })
			pickers = append(pickers, p)
		}
		var sent []int
		for ms := range 5000 {
			for _, p := range pickers {
				if a, _ := p.Pick(at(ms), Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1}); a != nil {
					p.Done(a, at(ms), Answered, nil)
					sent = append(sent, ms)
				}
			}
		}
		first := 0
		for i, ms := range sent {
			for sent[first] <= ms-1000 {
				first++
			}
			if n := i - first + 1; float64(n) > limit {
				t.Fatalf("%d VMs: %d requests within a second, want %v at most", vms, n, limit)
			}
		}
		if len(sent) < 40 {
			t.Errorf("%d VMs: %d requests in 5 s; the limit allows 55", vms, len(sent))
		}
	}
}

// fakeLimits admits attempts at the instances that it holds true for.
type fakeLimits struct {
	admits   map[string]bool
	offered  []string
	canceled []string
}

func (l *fakeLimits) Admit(instance string) (bool, float64) {
	l.offered = append(l.offered, instance)
	if l.admits[instance] {
		return true, 1
	}
	return false, 0.25
}

func (l *fakeLimits) Cancel(instance string) { l.canceled = append(l.canceled, instance) }

// TestInstanceAtItsLimitIsPassedOver checks the order of choices, and that each instance
// is offered an attempt once.
func TestInstanceAtItsLimitIsPassedOver(t *testing.T) {
	limits := &fakeLimits{admits: map[string]bool{"u1": true, "u2": true}}
	p := NewPicker("a", rand.New(rand.NewPCG(1, 2)), limits)
	p.Update(start, instances("a", "b"), nil, nil)
	r := Request{Service: "s", TypicalLatency: typicalLatency, ExtraAttemptScarcity: 1}
	a, _ := p.Pick(start, r)
	if a == nil || a.Upstream.ID != "u1" {
		t.Fatalf("the pick is %+v, want the instance that isn't at its limit", a)
	}
	r.Tried, r.RetryTried = []*Instance{a.Instance}, true
	if again, _ := p.Pick(start, r); again != a.Instance.inFlight[1] {
		t.Error("the instance that was tried wasn't picked, though the other is at its limit")
	}
	r.RetryTried = false
	if _, shortage := p.Pick(start, r); shortage != (Shortage{AtLimit: true, AdmittedFraction: 0.25}) {
		t.Errorf("the shortage is %+v", shortage)
	}
	if want := []string{"u0", "u1", "u0", "u1", "u0"}; !slices.Equal(limits.offered, want) {
		t.Errorf("offers are %v, want %v", limits.offered, want)
	}
}

// TestAdmissionOfAnAttemptThatWasNotSentIsReturned guards against limits that are used up
// by attempts that no connection took.
func TestAdmissionOfAnAttemptThatWasNotSentIsReturned(t *testing.T) {
	limits := &fakeLimits{admits: map[string]bool{"u0": true}}
	p := NewPicker("a", rand.New(rand.NewPCG(1, 2)), limits)
	p.Update(start, instances("a"), nil, nil)
	sent, unsent := pick(t, p, 0), pick(t, p, 0)
	p.MarkSent(sent, at(1))
	p.Done(sent, at(2), Failed, nil)
	if len(limits.canceled) != 0 {
		t.Error("the admission of an attempt that was sent was returned")
	}
	p.Done(unsent, at(2), Unreachable, nil)
	if len(limits.canceled) != 1 {
		t.Error("the admission of an attempt that wasn't sent was kept")
	}
}

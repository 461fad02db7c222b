package placement

import (
	"testing"
	"time"
)

// pressureOf returns the pressure of the test's service.
func pressureOf(p *Picker, ms int) Pressure { return p.Pressure(at(ms), []string{"s"}, nil)[0] }

// report ends an attempt at an instance with a load report.
func report(p *Picker, id string, ms int, o Outcome, l Load) {
	inst := p.instances[id]
	a := p.start(at(ms).Add(-typicalLatency), inst, typicalLatency)
	p.MarkSent(a, at(ms).Add(-typicalLatency))
	p.Done(a, at(ms), o, &l)
}

// TestPressureIsThatOfTheLeastLoadedInstance checks loads, waits and their age. Instances
// have two slots.
func TestPressureIsThatOfTheLeastLoadedInstance(t *testing.T) {
	p := picker("a", "b")
	if got := pressureOf(p, 0); got.Usable != 2 || got.Known != 0 || got.PerSlot != 0 || got.Wait != 0 {
		t.Errorf("without reports the pressure is %+v", got)
	}
	report(p, "u0", 0, Answered, Load{Running: 2, Queued: 4, Slots: 2})
	report(p, "u1", 5, Answered, Load{Running: 2, Queued: 2, Slots: 2})
	got := pressureOf(p, 10)
	if got.Known != 2 || got.PerSlot != 2 || got.Age != 5*time.Millisecond {
		t.Errorf("the pressure is %+v, want that of u1", got)
	}
	// The answer with a load of two took 10 ms, so a slot was used for 5 ms.
	if got.Wait != 5*time.Millisecond {
		t.Errorf("the wait is %v", got.Wait)
	}
	if mean := got.RecentSum / got.RecentWeight; mean <= 2 || mean >= 3 {
		t.Errorf("the mean of recent loads is %v, want between both", mean)
	}
	p.start(at(10), p.instances["u1"], typicalLatency)
	if got := pressureOf(p, 10); got.PerSlot != 2.5 {
		t.Errorf("an attempt after the report isn't counted: %+v", got)
	}
	if got := pressureOf(p, 400); got.Known != 0 || got.Age != 0 {
		t.Errorf("old reports count: %+v", got)
	}
}

// TestPressureOfInstancesThatAreAvoided checks that an instance that was full doesn't hide
// the load of the others, and that a service without any other has no free slot.
func TestPressureOfInstancesThatAreAvoided(t *testing.T) {
	p := picker("a", "b")
	report(p, "u0", 0, Rejected, Load{Running: 0, Queued: 0, Slots: 0})
	report(p, "u1", 0, Answered, Load{Running: 2, Queued: 6, Slots: 2})
	if got := pressureOf(p, 10); got.PerSlot != 4 {
		t.Errorf("the pressure is %+v, want that of the instance that isn't avoided", got)
	}
	p = picker("a")
	report(p, "u0", 0, Rejected, Load{})
	if got := pressureOf(p, 10); got.PerSlot < 1 {
		t.Errorf("a full service has free slots: %+v", got)
	}
}

// TestPressureOfUnusableInstances checks draining and evacuated ones.
func TestPressureOfUnusableInstances(t *testing.T) {
	p := picker("a", "b")
	list := instances("a", "b")
	list["s"][0].Draining = true
	p.Update(start, list, map[string]bool{"b": true}, nil)
	if got := pressureOf(p, 0); got.Usable != 0 {
		t.Errorf("the pressure is %+v", got)
	}
}

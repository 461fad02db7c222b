package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestUnsharedInstancesAreALastResort checks when a VM sends to instances to which it
// keeps no connection: not while those with one merely are full, but beside one that
// fails, and for extra attempts.
func TestUnsharedInstancesAreALastResort(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(p *Picker, now time.Time)
		retry   bool
		want    bool // whether an unshared instance may be picked
	}{
		"idle": {func(*Picker, time.Time) {}, false, false},
		"full": {func(p *Picker, now time.Time) {
			for range 20 {
				a, _ := p.Pick(now, Request{Service: "s"})
				p.Done(a, now, Rejected, &Load{Running: 3, Queued: 9, Slots: 3})
			}
		}, false, false},
		"failing": {func(p *Picker, now time.Time) {
			a, _ := p.Pick(now, Request{Service: "s"})
			p.Done(a, now, Failed, nil)
		}, false, true},
		"silent": {func(p *Picker, now time.Time) {
			a, _ := p.Pick(now.Add(-time.Second), Request{Service: "s", TypicalLatency: time.Millisecond})
			p.MarkSent(a, now.Add(-time.Second))
		}, false, true},
		"extra attempt": {func(*Picker, time.Time) {}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPicker("a", rand.New(rand.NewPCG(rand.Uint64(), 1)), nil)
			p.Update(start, instances("a", "a", "a"), nil, nil)
			p.SetUnshared(map[string]bool{"u1": true, "u2": true})
			test.prepare(p, start)
			r := Request{Service: "s"}
			if test.retry {
				first, _ := p.Pick(start, r)
				r.Tried = append(r.Tried, first.Instance)
			}
			a, _ := p.Pick(start, r)
			if a == nil {
				t.Fatal("no instance is picked")
			}
			if got := a.Upstream.ID != "u0"; got != test.want {
				t.Errorf("%s is picked", a.Upstream.ID)
			}
		})
	}
}

package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// TestWaitingAttemptIsWithdrawn guards against requests that reach an instance after its zone
// was evacuated, or after it was seen to leave, because they were placed before and have
// waited for a connection.
func TestWaitingAttemptIsWithdrawn(t *testing.T) {
	changed := func(change func(u *routetable.Upstream)) func(p *Picker, _ *Attempt) {
		return func(p *Picker, _ *Attempt) {
			list := instances("a", "b")
			change(&list["s"][0])
			p.Update(at(100), list, nil, nil)
		}
	}
	for name, test := range map[string]struct {
		change func(p *Picker, a *Attempt)
		want   Exclusion
	}{
		"unchanged":     {changed(func(*routetable.Upstream) {}), Usable},
		"drains":        {changed(func(u *routetable.Upstream) { u.Draining = true }), Draining},
		"has restarted": {changed(func(u *routetable.Upstream) { u.Born++ }), Gone},
		"has moved":     {changed(func(u *routetable.Upstream) { u.Address = "10.0.0.9:80" }), Gone},
		"isn't listed": {func(p *Picker, _ *Attempt) {
			p.Update(at(100), map[string][]routetable.Upstream{"s": instances("a", "b")["s"][1:]}, nil, nil)
		}, Gone},
		"evacuated zone": {func(p *Picker, _ *Attempt) { p.Update(at(100), instances("a", "b"), map[string]bool{"a": true}, nil) }, Evacuated},
		"other zone":     {func(p *Picker, _ *Attempt) { p.Update(at(100), instances("a", "b"), map[string]bool{"b": true}, nil) }, Usable},
		"closed":         {func(p *Picker, a *Attempt) { p.MarkClosed(a, at(100), time.Minute) }, Closed},
		"leaving":        {func(p *Picker, a *Attempt) { p.MarkLeaving(a, at(100)) }, Closed},
		"replaced": {func(p *Picker, a *Attempt) {
			p.Done(&Attempt{Instance: a.Instance, Upstream: a.Upstream}, at(100), WrongInstance, nil)
		}, Replaced},
	} {
		t.Run(name, func(t *testing.T) {
			p := picker("a", "b")
			waiting := pick(t, p, 0)
			if waiting.Upstream.Zone != "a" || p.Excluded(waiting, at(50)) != Usable {
				t.Fatalf("the attempt is at %+v", waiting.Upstream)
			}
			test.change(p, waiting)
			if got := p.Excluded(waiting, at(150)); got != test.want {
				t.Errorf("an attempt that waits is %q, want %q", got, test.want)
			}
			if got := p.Readmit(waiting, at(150)); got != test.want {
				t.Errorf("an attempt that is about to be written is %q, want %q", got, test.want)
			}
		})
	}
}

// TestWaitingAttemptsKeepToTheLimitOfAColdInstance guards against a burst at a cold instance by
// attempts that were placed before it was cold, or one after the other, and get connections
// together.
func TestWaitingAttemptsKeepToTheLimitOfAColdInstance(t *testing.T) {
	const perSecond = 5
	rate := func(routetable.Upstream) (float64, bool) { return perSecond, true }
	cold := instances("a")
	cold["s"][0].Cold = time.Minute
	for name, isColdBefore := range map[string]bool{"placed before it is cold": false, "placed one after another": true} {
		t.Run(name, func(t *testing.T) {
			p := picker("a")
			if isColdBefore {
				p.Update(start, cold, nil, rate)
			}
			var waiting []*Attempt
			for ms := 0; ms < 3000; ms += 1000 / perSecond {
				waiting = append(waiting, pick(t, p, ms))
			}
			p.Update(at(3000), cold, nil, rate)
			written := 0
			for ms := 3000; ms < 4000; ms += 10 { // each gets a connection a hundred times in the second
				for i, a := range waiting {
					if a != nil && p.Readmit(a, at(ms)) == Usable {
						p.MarkSent(a, at(ms))
						waiting[i] = nil
						written++
					}
				}
			}
			if written == 0 || written > perSecond+1 {
				t.Errorf("%d attempts are written in a second, %d are allowed", written, perSecond)
			}
		})
	}
}

// countingLimits admits a number of attempts.
type countingLimits struct{ left int }

// Admit implements Limits.
func (l *countingLimits) Admit(string) (bool, float64) {
	l.left--
	return l.left >= 0, 0.5
}

// Cancel implements Limits.
func (l *countingLimits) Cancel(string) {}

// TestWaitingAttemptIsAdmittedAgainByALimit guards against attempts that were placed while an
// instance stated no limit, have waited, and reach it beside those that its limit admits.
func TestWaitingAttemptIsAdmittedAgainByALimit(t *testing.T) {
	limits := &countingLimits{left: 1}
	p := NewPicker("a", rand.New(rand.NewPCG(1, 2)), limits)
	p.Update(start, instances("a"), nil, nil)
	a := pick(t, p, 0)
	if got := p.Readmit(a, at(10)); got != Usable {
		t.Errorf("an attempt that hasn't waited is %q", got)
	}
	if got := p.Readmit(a, at(2000)); got != AtLimit {
		t.Errorf("an attempt that has waited is %q, want %q", got, AtLimit)
	}
	limits.left = 1
	if got := p.Readmit(a, at(2000)); got != Usable {
		t.Errorf("an attempt that the limit admits is %q", got)
	}
}

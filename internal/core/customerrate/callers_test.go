package customerrate

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

// simCallers retry refused requests as the users' callers do: after the advised
// wait, but after a third of their remaining time at most.
type simCallers struct {
	f *simFleet
	// reportLate passes to VMs whether an attempt is late.
	reportLate   bool
	pending      []attempt
	inTime, late int
}

// attempt is one try of a request. first is when the request first arrived.
type attempt struct {
	first, at time.Duration
	tries     int
}

const (
	callerBudget    = 1200 * time.Millisecond
	callerObjective = 80 * time.Millisecond
	callerTries     = 3
)

// run sends new requests at a rate for the given time.
func (c *simCallers) run(d time.Duration, perSecond float64) {
	f := c.f
	for end := f.now + d; f.now < end; {
		if f.rng.Float64() < perSecond*step.Seconds() {
			c.try(attempt{first: f.now})
		}
		due := c.pending
		c.pending = nil
		for _, a := range due {
			if a.at > f.now {
				c.pending = append(c.pending, a)
				continue
			}
			c.try(a)
		}
		f.run(step)
	}
}

func (c *simCallers) try(a attempt) {
	f := c.f
	spent := f.now - a.first
	f.offered++
	ok, retryAfter := f.vms[f.rng.IntN(len(f.vms))].limiter.Admit(f.time(), &f.customer, c.reportLate && spent >= callerObjective)
	switch {
	case !ok && a.tries+1 < callerTries:
		c.pending = append(c.pending, attempt{a.first, f.now + min(retryAfter, (callerBudget-spent)/3), a.tries + 1})
	case !ok:
	case spent >= callerObjective:
		f.admitted = append(f.admitted, f.now)
		c.late++
	default:
		f.admitted = append(f.admitted, f.now)
		c.inTime++
	}
}

// TestAboveTheRateRequestsAreAnsweredInTime simulates a customer at 1.3 times
// its rate whose callers retry refused requests. Nearly all of the rate must go
// to requests that are answered in time, without lowering the number admitted.
func TestAboveTheRateRequestsAreAnsweredInTime(t *testing.T) {
	for _, c := range []routetable.Customer{large, small} {
		simulate := func(seed uint64, reportLate bool) *simCallers {
			f := newSimFleet(t, seed, 9, c)
			f.run(10 * time.Second)
			out := &simCallers{f: f, reportLate: reportLate}
			out.run(30*time.Second, c.RatePerSecond*1.3)
			f.checkWindows()
			return out
		}
		var withLate, withoutLate simCallers
		for seed := range uint64(8) {
			a, b := simulate(seed, true), simulate(seed, false)
			withLate.inTime, withLate.late = withLate.inTime+a.inTime, withLate.late+a.late
			withoutLate.inTime, withoutLate.late = withoutLate.inTime+b.inTime, withoutLate.late+b.late
		}
		t.Logf("%s: in time %d, late %d; without the preference for requests in time %d, %d", c.Name, withLate.inTime, withLate.late, withoutLate.inTime, withoutLate.late)
		if withLate.late*20 > withLate.inTime {
			t.Errorf("%s: %d of the admitted requests are late, %d in time", c.Name, withLate.late, withLate.inTime)
		}
		if all, before := withLate.inTime+withLate.late, withoutLate.inTime+withoutLate.late; all*100 < before*97 {
			t.Errorf("%s: %d requests admitted, %d without the preference for requests in time", c.Name, all, before)
		}
	}
}

// TestBelowTheRateLateRequestsAreAdmitted simulates customers, one of them with
// nearly no burst, whose demand exceeds their rate for two seconds and then
// drops to half of it.
func TestBelowTheRateLateRequestsAreAdmitted(t *testing.T) {
	flat := routetable.Customer{Name: "flat", RatePerSecond: 122, Burst: 4}
	for _, customer := range []routetable.Customer{large, small, flat} {
		f := newSimFleet(t, 1, 9, customer)
		f.run(10 * time.Second)
		c := &simCallers{f: f, reportLate: true}
		c.run(2*time.Second, customer.RatePerSecond*3)
		c.run(3*time.Second, customer.RatePerSecond/2)
		offered, admitted := 0, 0
		for range 100 {
			f.offered, f.admitted = 0, nil
			c.try(attempt{first: f.now - time.Second, tries: callerTries})
			offered, admitted = offered+f.offered, admitted+len(f.admitted)
			c.run(500*time.Millisecond, customer.RatePerSecond/2)
		}
		if admitted < 95 {
			t.Errorf("%s: %d of %d late requests admitted below the rate", customer.Name, admitted, offered)
		}
	}
}

package loadshed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/placement"
)

var start = time.Unix(1_700_000_000, 0)

// fixedLoads states the same pressure for each service.
type fixedLoads struct {
	pressure placement.Pressure
	// of replaces it for single services.
	of map[string]placement.Pressure
}

// Pressure implements Loads.
func (l *fixedLoads) Pressure(_ time.Time, services []string, dst []placement.Pressure) []placement.Pressure {
	dst = dst[:0]
	for _, s := range services {
		if p, ok := l.of[s]; ok {
			dst = append(dst, p)
		} else {
			dst = append(dst, l.pressure)
		}
	}
	return dst
}

// full is the pressure of a service at which requests wait for d.
func full(d time.Duration) placement.Pressure {
	return placement.Pressure{Usable: 3, Known: 3, PerSlot: 1 + d.Seconds()/0.01, Wait: d, Work: 10 * time.Millisecond, RecentSum: 3 + 3*d.Seconds()/0.01, RecentWeight: 3}
}

func idle() placement.Pressure {
	return placement.Pressure{Usable: 3, Known: 3, PerSlot: 0.5, Work: 10 * time.Millisecond, RecentSum: 1.5, RecentWeight: 3}
}

func services(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("s", i))
	}
	return out
}

func request(kind string, priority int) Request {
	return Request{
		Group: Group{"s0", 20}, Services: services(20), Kind: kind, MinShare: 0.95,
		Objective: 100 * time.Millisecond, Priority: priority,
	}
}

func newShedder(l Loads) *Shedder { return New(l, rand.New(rand.NewPCG(1, 2))) }

// admitted offers each of the requests once every millisecond and returns the fraction of
// each that is admitted in the last half.
func admitted(s *Shedder, d time.Duration, requests ...Request) []float64 {
	out := make([]float64, len(requests))
	n := int(d / time.Millisecond)
	for i := range n {
		for j, r := range requests {
			if s.Decide(start.Add(time.Duration(i)*time.Millisecond), r).Admit && i >= n/2 {
				out[j] += 2 / float64(n)
			}
		}
	}
	return out
}

// TestLessUrgentRequestsAreRejectedFirst checks the order of ranks.
func TestLessUrgentRequestsAreRejectedFirst(t *testing.T) {
	s := newShedder(&fixedLoads{pressure: full(25 * time.Millisecond)})
	got := admitted(s, 800*time.Millisecond, request("urgent", 0), request("usual", 1), request("usual", 1), request("usual", 1))
	if got[0] < 0.999 {
		t.Errorf("%.2f of the urgent requests were admitted, %.2f of the others", got[0], got[1])
	}
	if got[1] > 0.6 {
		t.Errorf("%.2f of the less urgent requests were admitted at a wait above the tolerated one", got[1])
	}
}

// TestCustomerWithMostRequestsIsRejectedFirst checks that the customer with most of the demand is
// rejected first.
func TestCustomerWithMostRequestsIsRejectedFirst(t *testing.T) {
	s := newShedder(&fixedLoads{pressure: full(25 * time.Millisecond)})
	small, large := request("usual", 1), request("usual", 1)
	small.Customer, large.Customer = "small", "large"
	got := admitted(s, 800*time.Millisecond, small, large, large, large, large, large, large, large)
	if got[0] < 0.999 || got[1] > 0.7 {
		t.Errorf("admitted are %.2f of the small customer's and %.2f of the large one's requests", got[0], got[1])
	}
}

// TestEvenPart checks the division of what is admitted among customers.
func TestEvenPart(t *testing.T) {
	l := levelDemand{customer: map[string]float64{"a": 1, "b": 2, "c": 9, "d": 9}}
	for admitted, want := range map[float64]float64{2: 0.5, 4: 1, 7: 2, 11: 4, 21: 9} {
		if got := l.evenPart(admitted); math.Abs(got-want) > 1e-9 {
			t.Errorf("of %v requests each customer gets %v at most, want %v", admitted, got, want)
		}
	}
}

// TestNothingIsRejectedWithoutShortage covers free slots, loads that aren't known, and a
// shard without which the request has an answer.
func TestNothingIsRejectedWithoutShortage(t *testing.T) {
	unknown := full(time.Second)
	unknown.Known = 1
	for name, l := range map[string]*fixedLoads{
		"free slots":                {pressure: idle()},
		"too few reports":           {pressure: unknown},
		"no instances":              {},
		"one of the shards is full": {pressure: idle(), of: map[string]placement.Pressure{"s7": full(time.Second)}},
		"a tolerated wait":          {pressure: full(15 * time.Millisecond)},
	} {
		if got := admitted(newShedder(l), time.Second, request("usual", 1)); got[0] < 0.999 {
			t.Errorf("%s: %.2f admitted", name, got[0])
		}
	}
}

// TestShardsThatDecideAreFull checks that two full shards of twenty suffice if only one
// may be missing.
func TestShardsThatDecideAreFull(t *testing.T) {
	l := &fixedLoads{pressure: idle(), of: map[string]placement.Pressure{"s7": full(time.Second), "s9": full(200 * time.Millisecond)}}
	s := newShedder(l)
	if got := admitted(s, time.Second, request("usual", 1)); got[0] > 0.1 {
		t.Errorf("%.2f admitted", got[0])
	}
	d := s.Decide(start.Add(time.Second), request("usual", 1))
	if d.Admit || d.Service != "s9" || d.Wait != 200*time.Millisecond {
		t.Errorf("the decision is %+v, want a rejection because of s9", d)
	}
}

// TestRejectionsEndWithTheShortage checks that all requests are admitted once there are
// free slots again.
func TestRejectionsEndWithTheShortage(t *testing.T) {
	l := &fixedLoads{pressure: full(100 * time.Millisecond)}
	s := newShedder(l)
	admitted(s, 2*time.Second, request("usual", 1))
	l.pressure = idle()
	for i := range 1000 {
		at := start.Add(2*time.Second + time.Duration(i)*time.Millisecond)
		if d := s.Decide(at, request("usual", 1)); !d.Admit && i > 500 {
			t.Fatalf("rejected %d ms after the shortage: %+v", i, d)
		}
	}
}

// TestRetryAfterIsSpread checks that rejected callers don't return together, and later
// while more is rejected.
func TestRetryAfterIsSpread(t *testing.T) {
	for _, fraction := range []float64{0.1, 0.5, 0.9, 1} {
		first, last := retryAfter(fraction, 0), retryAfter(fraction, 1)
		if first < minRetryAfter || last < 2*first {
			t.Errorf("at %v callers return from %v to %v", fraction, first, last)
		}
	}
	if retryAfter(0.9, 0) <= retryAfter(0.1, 0) {
		t.Error("the wait doesn't grow with the rejected fraction")
	}
}

// TestExtraAttemptsNeedRoomUnderOverload checks hedges and retries of a kind that is
// rejected in part, and of a more urgent one.
func TestExtraAttemptsNeedRoomUnderOverload(t *testing.T) {
	l := &fixedLoads{pressure: full(25 * time.Millisecond)}
	s := newShedder(l)
	urgent, usual := request("urgent", 0), request("usual", 1)
	now := start
	if !s.AdmitExtra(now, &usual, "s3", true) {
		t.Error("a hedge wasn't admitted before there was an overload")
	}
	admitted(s, 300*time.Millisecond, urgent, usual, usual)
	now = start.Add(300 * time.Millisecond)
	short := full(10 * time.Millisecond)
	l.of = map[string]placement.Pressure{"s3": short, "s4": idle()}
	for _, test := range []struct {
		r       *Request
		service string
		hedge   bool
		want    bool
	}{
		{&usual, "s3", true, false}, {&usual, "s4", true, true}, {&usual, "s3", false, true}, {&usual, "s5", false, false},
		{&urgent, "s3", true, true}, {&urgent, "s5", true, false},
	} {
		if got := s.AdmitExtra(now, test.r, test.service, test.hedge); got != test.want {
			t.Errorf("%s, service %s, hedge %v: admitted %v", test.r.Kind, test.service, test.hedge, got)
		}
	}
}

package main

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

const (
	// warmUp is longer than a fleet takes to start and to fill the buckets.
	warmUp = 30 * time.Second
	// adapt is the time after a change of demand that isn't judged.
	adapt = 2 * time.Second
	// shift is the time between two jumps of the demand.
	shift = 5 * time.Second
	// replaceEvery is the time between two replaced VMs.
	replaceEvery = 10 * time.Second
	// healed is the time after the end of a cut by which service must be whole.
	healed = 5 * time.Second
	// long gives a customer of one request a second hundreds of requests.
	long = 10 * time.Minute
	// drain is the time for which a leaving VM gets requests.
	drain = time.Second
	// join is the time from the start of a VM until it gets requests.
	join = 3 * time.Second
)

// customers are eight, a few of them large.
func customers() []catalog.Customer {
	return []catalog.Customer{
		{Name: "large-1", Rate: 200, Burst: 200},
		{Name: "large-2", Rate: 120, Burst: 120},
		{Name: "middle-1", Rate: 40, Burst: 40},
		{Name: "middle-2", Rate: 40, Burst: 40},
		{Name: "small-1", Rate: 8, Burst: 16},
		{Name: "small-2", Rate: 8, Burst: 16},
		{Name: "small-3", Rate: 4, Burst: 12},
		{Name: "small-4", Rate: 1, Burst: 10},
	}
}

// scenario is a pattern of demand and faults.
type scenario struct {
	name string
	// load is the demand as a part of each customer's rate.
	load float64
	// only, if set, is the one customer with demand.
	only string
	// greedy, if set, sends five times its rate and isn't judged for refusals.
	greedy string
	// judgeFrom and until bound the judged time.
	judgeFrom, until time.Duration
	// place chooses the position that a request goes to.
	place func(r *bench) int
	// begin schedules the faults.
	begin func(r *bench)
}

func scenarios() []scenario {
	anywhere := func(r *bench) int { return r.fleet.Rand.IntN(len(r.positions)) }
	one := func(*bench) int { return 0 }
	jumping := func(r *bench) int { return int(r.fleet.Now/shift) * 4 % len(r.positions) }
	end := warmUp + 60*time.Second
	return []scenario{
		{name: "even 0.7", load: 0.7, judgeFrom: warmUp, until: end, place: anywhere},
		{name: "even 0.9", load: 0.9, judgeFrom: warmUp, until: end, place: anywhere},
		{name: "one VM 0.9", load: 0.9, only: "large-1", judgeFrom: warmUp + adapt, until: end, place: one},
		{name: "one VM 0.9, all customers", load: 0.9, judgeFrom: warmUp + adapt, until: end, place: one},
		{name: "jumping 0.9", load: 0.9, judgeFrom: warmUp, until: end, place: jumping},
		{name: "one customer x5", load: 0.9, greedy: "large-1", judgeFrom: warmUp, until: end, place: anywhere},
		{name: "zone cut off 60 s, 0.7", load: 0.7, judgeFrom: warmUp, until: end + 10*time.Second, place: anywhere, begin: cutZone},
		{name: "after a zone was cut off", load: 0.7, judgeFrom: end + healed, until: end + 30*time.Second, place: anywhere, begin: cutZone},
		{name: "only the smallest, one VM", load: 0.9, only: "small-4", judgeFrom: warmUp + adapt, until: end + long, place: one},
		{name: "one customer x5, others 0.7", load: 0.7, greedy: "large-1", judgeFrom: warmUp, until: end, place: anywhere},
		{name: "crash of one VM, others even", load: 0.7, judgeFrom: warmUp, until: end, place: anywhere, begin: crashOne},
		{name: "VMs replaced, 0.7", load: 0.7, judgeFrom: warmUp, until: warmUp + 95*time.Second, place: anywhere, begin: replaceAll},
		{name: "VMs replaced, 0.9", load: 0.9, judgeFrom: warmUp, until: warmUp + 95*time.Second, place: anywhere, begin: replaceAll},
		{name: "VMs crash, 0.7", load: 0.7, judgeFrom: warmUp, until: warmUp + 95*time.Second, place: anywhere, begin: crashAll},
	}
}

func cutZone(r *bench) {
	side := func(group int) func() {
		return func() {
			for i := range r.positions {
				if r.positions[i].vm.Zone == "b" {
					r.setGroup(i, group)
				}
			}
		}
	}
	r.fleet.After(warmUp, nil, side(1))
	r.fleet.After(warmUp+60*time.Second, nil, side(0))
}

func replaceAll(r *bench) {
	for i := range r.positions {
		at := warmUp + time.Duration(i)*replaceEvery
		r.fleet.After(at, nil, func() { r.policy.leave(i) })
		r.fleet.After(at+drain, nil, func() { r.replace(i) })
	}
}

func crashOne(r *bench) {
	r.fleet.After(warmUp, nil, func() { r.replace(4) })
}

func crashAll(r *bench) {
	for i := range r.positions {
		at := warmUp + time.Duration(i)*replaceEvery
		r.fleet.After(at, nil, func() { r.replace(i) })
	}
}

// result is what one run showed.
type result struct {
	excess, wrongly, worst float64
	// waits is the part of requests that waited, in per cent, and wait their
	// mean time in milliseconds.
	waits, wait     float64
	messages, bytes float64
}

// tally counts one customer's requests.
type tally struct {
	curve            quotasim.Curve
	offered, wrongly int
	// waits counts the requests that waited for a token.
	waits  int
	waited time.Duration
}

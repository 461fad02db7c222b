package main

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

const (
	// warmUp is longer than a fleet takes to start and to fill the buckets.
	warmUp = 30 * time.Second
	// adaptTime is the time after a change of demand that isn't judged.
	adaptTime = 2 * time.Second
	// jumpInterval is the time between two jumps of the demand.
	jumpInterval = 5 * time.Second
	// replaceInterval is the time between two replaced VMs.
	replaceInterval = 10 * time.Second
	// recoveryTime is the time after the end of a cut by which service must be whole.
	recoveryTime = 5 * time.Second
	// longRunTime gives a customer of one request a second hundreds of requests.
	longRunTime = 10 * time.Minute
	// drainTime is the time for which a leaving VM gets requests.
	drainTime = time.Second
	// joinTime is the time from the start of a VM until it gets requests.
	joinTime = 3 * time.Second
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
	// rateFraction is the demand as a part of each customer's rate.
	rateFraction float64
	// onlyCustomer, if set, is the one customer with demand.
	onlyCustomer string
	// overloading, if set, sends five times its rate and isn't judged for refusals.
	overloading string
	// measureFrom and until bound the judged time.
	measureFrom, until time.Duration
	// pickPosition chooses the position that a request goes to.
	pickPosition func(sim *simulation) int
	// scheduleFaults schedules the faults.
	scheduleFaults func(sim *simulation)
}

func scenarios() []scenario {
	anywhere := func(sim *simulation) int { return sim.fleet.Rand.IntN(len(sim.positions)) }
	one := func(*simulation) int { return 0 }
	jumping := func(sim *simulation) int { return int(sim.fleet.Now/jumpInterval) * 4 % len(sim.positions) }
	end := warmUp + 60*time.Second
	return []scenario{
		{name: "even 0.7", rateFraction: 0.7, measureFrom: warmUp, until: end, pickPosition: anywhere},
		{name: "even 0.9", rateFraction: 0.9, measureFrom: warmUp, until: end, pickPosition: anywhere},
		{name: "one VM 0.9", rateFraction: 0.9, onlyCustomer: "large-1", measureFrom: warmUp + adaptTime, until: end, pickPosition: one},
		{name: "one VM 0.9, all customers", rateFraction: 0.9, measureFrom: warmUp + adaptTime, until: end, pickPosition: one},
		{name: "jumping 0.9", rateFraction: 0.9, measureFrom: warmUp, until: end, pickPosition: jumping},
		{name: "one customer x5", rateFraction: 0.9, overloading: "large-1", measureFrom: warmUp, until: end, pickPosition: anywhere},
		{name: "zone cut off 60 s, 0.7", rateFraction: 0.7, measureFrom: warmUp, until: end + 10*time.Second, pickPosition: anywhere, scheduleFaults: partitionZone},
		{name: "after a zone was cut off", rateFraction: 0.7, measureFrom: end + recoveryTime, until: end + 30*time.Second, pickPosition: anywhere, scheduleFaults: partitionZone},
		{name: "only the smallest, one VM", rateFraction: 0.9, onlyCustomer: "small-4", measureFrom: warmUp + adaptTime, until: end + longRunTime, pickPosition: one},
		{name: "one customer x5, others 0.7", rateFraction: 0.7, overloading: "large-1", measureFrom: warmUp, until: end, pickPosition: anywhere},
		{name: "crash of one VM, others even", rateFraction: 0.7, measureFrom: warmUp, until: end, pickPosition: anywhere, scheduleFaults: crashOne},
		{name: "VMs replaced, 0.7", rateFraction: 0.7, measureFrom: warmUp, until: warmUp + 95*time.Second, pickPosition: anywhere, scheduleFaults: replaceAll},
		{name: "VMs replaced, 0.9", rateFraction: 0.9, measureFrom: warmUp, until: warmUp + 95*time.Second, pickPosition: anywhere, scheduleFaults: replaceAll},
		{name: "VMs crash, 0.7", rateFraction: 0.7, measureFrom: warmUp, until: warmUp + 95*time.Second, pickPosition: anywhere, scheduleFaults: crashAll},
	}
}

func partitionZone(sim *simulation) {
	setZone := func(group int) func() {
		return func() {
			for i := range sim.positions {
				if sim.positions[i].vm.Zone == "b" {
					sim.setPartition(i, group)
				}
			}
		}
	}
	sim.fleet.After(warmUp, nil, setZone(1))
	sim.fleet.After(warmUp+60*time.Second, nil, setZone(0))
}

func replaceAll(sim *simulation) {
	for i := range sim.positions {
		at := warmUp + time.Duration(i)*replaceInterval
		sim.fleet.After(at, nil, func() { sim.policy.leave(i) })
		sim.fleet.After(at+drainTime, nil, func() { sim.replace(i) })
	}
}

func crashOne(sim *simulation) {
	sim.fleet.After(warmUp, nil, func() { sim.replace(4) })
}

func crashAll(sim *simulation) {
	for i := range sim.positions {
		at := warmUp + time.Duration(i)*replaceInterval
		sim.fleet.After(at, nil, func() { sim.replace(i) })
	}
}

// result is what one run showed.
type result struct {
	excess, wronglyRefused, worstServed float64
	// waited is the part of requests that waited, in per cent, and wait their
	// mean time in milliseconds.
	waited, meanWaitMS float64
	messages, bytes    float64
}

// customerStats counts one customer's requests.
type customerStats struct {
	curve                   quotasim.Curve
	offered, wronglyRefused int
	// waited counts the requests that waited for a token.
	waited    int
	totalWait time.Duration
}

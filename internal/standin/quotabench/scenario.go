package main

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

const (
	// warmUp is longer than a fleet takes to start and to fill its buckets.
	warmUp = 30 * time.Second
	// adaptTime is the time after a change of demand that isn't measured.
	adaptTime = 2 * time.Second
	// jumpInterval is the time after which the demand moves to another VM.
	jumpInterval = 5 * time.Second
	// replaceInterval is the time between two replacements of VMs.
	replaceInterval = 10 * time.Second
	// recoveryTime is the time after a network partition within which service must
	// recover.
	recoveryTime = 5 * time.Second
	// longRunTime is long enough for hundreds of requests of a customer with one
	// request per second.
	longRunTime = 10 * time.Minute
	// drainTime is how long a leaving VM still receives requests.
	drainTime = time.Second
	// joinTime is the time from the start of a VM until it receives requests.
	joinTime = 3 * time.Second
)

// customers returns eight customers, a few of them with large limits.
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

// scenario describes a pattern of demand and faults.
type scenario struct {
	name string
	// rateFraction is the demand as a fraction of each customer's rate.
	rateFraction float64
	// onlyCustomer, if set, is the only customer that sends requests.
	onlyCustomer string
	// overloading, if set, is a customer that sends five times its rate. Its
	// refusals aren't counted.
	overloading string
	// measureFrom and until bound the measured time; the run ends at until.
	measureFrom, until time.Duration
	// pickPosition returns the index of the position that receives a request.
	pickPosition func(sim *simulation) int
	// scheduleFaults schedules the faults. It may be nil.
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
	setZone := func(partition int) func() {
		return func() {
			for i := range sim.positions {
				if sim.positions[i].vm.Zone == "b" {
					sim.setPartition(i, partition)
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

// result holds the measurements of one run. wronglyRefused is the percentage of
// requests that were refused although within the customer's limit, worstServed the
// lowest percentage of requests not wrongly refused over the customers, and excess
// the largest number of admissions over a customer's arrival curve.
type result struct {
	excess, wronglyRefused, worstServed float64
	// waited is the percentage of requests that waited for a token, and
	// meanWaitMS their mean wait in milliseconds.
	waited, meanWaitMS float64
	messages, bytes    float64
}

// customerStats counts one customer's requests within the measured time, and
// checks all of its admissions against its arrival curve.
type customerStats struct {
	curve                   quotasim.Curve
	offered, wronglyRefused int
	// waited counts the requests that waited for a token.
	waited    int
	totalWait time.Duration
}

package placement

import (
	"math"
	"time"
)

// Pressure summarizes what this VM knows of the load of one service's instances.
type Pressure struct {
	// Usable is the number of instances that may be picked; Known is how many of them
	// reported their load within loadMaxAge.
	Usable, Known int
	// PerSlot is the number of running and queued requests per slot of the least loaded
	// instance, and 1 at least if that has no free slot. Instances that are avoided don't
	// count unless there are no others. An instance without a recent report counts with
	// this VM's own attempts.
	PerSlot float64
	// Wait is how long a request would wait for a slot of that instance.
	Wait time.Duration
	// Work is the time for which a request uses a slot of that instance.
	Work time.Duration
	// RecentSum is the sum of the loads per slot that instances have just reported, weighted
	// by how recent they are, and RecentWeight the sum of the weights.
	RecentSum, RecentWeight float64
	// Age is that of the report of the least loaded instance; 0 if it has none.
	Age time.Duration
}

// Pressure sets dst to the pressure of each service at a time. It changes nothing of the
// instances.
func (p *Picker) Pressure(now time.Time, services []string, dst []Pressure) []Pressure {
	p.mu.Lock()
	defer p.mu.Unlock()
	dst = dst[:0]
	for _, s := range services {
		dst = append(dst, p.pressure(now, s))
	}
	return dst
}

func (p *Picker) pressure(now time.Time, service string) Pressure {
	out := Pressure{PerSlot: math.Inf(1)}
	var least, leastAvoided *Instance
	loadAvoided := math.Inf(1)
	for _, inst := range p.services[service] {
		if !p.allowed(inst) {
			continue
		}
		out.Usable++
		load := inst.load(now, &out)
		if now.Before(inst.avoidUntil) || inst.overdue(now) {
			if load < loadAvoided {
				loadAvoided, leastAvoided = load, inst
			}
			continue
		}
		if load < out.PerSlot {
			out.PerSlot, least = load, inst
		}
	}
	if least == nil && leastAvoided != nil {
		out.PerSlot, least = max(loadAvoided, 1), leastAvoided
	}
	if least != nil {
		out.Work = least.work
		out.Wait = time.Duration(max(out.PerSlot-1, 0) * float64(least.work))
		if age := now.Sub(least.loadReportedAt); age < loadMaxAge {
			out.Age = age
		}
	}
	return out
}

// load returns the running and queued requests per slot of the instance, and adds to the
// sums of p.
func (inst *Instance) load(now time.Time, p *Pressure) float64 {
	slots := float64(max(inst.Announcement.Slots, 1))
	age := now.Sub(inst.loadReportedAt)
	if age >= loadMaxAge {
		return float64(len(inst.inFlight)) / slots
	}
	p.Known++
	if w := 1 - age.Seconds()/recentAge.Seconds(); w > 0 {
		p.RecentSum += w * inst.reportedLoad
		p.RecentWeight += w
	}
	sentSince := 0
	for _, a := range inst.inFlight {
		if a.sentAt.After(inst.loadReportedAt) {
			sentSince++
		}
	}
	return inst.reportedLoad + float64(sentSince)/slots
}

// recentAge is the age from which a report is no longer recent.
const recentAge = 40 * time.Millisecond

// workWeight is the weight of a new sample in the average of the work.
const workWeight = 0.1

// observeWork records how long an answered attempt took. With requests waiting, the
// attempt is taken to have waited for as many as its answer reports.
func (inst *Instance) observeWork(took time.Duration) {
	sample := time.Duration(float64(took) / max(inst.reportedLoad, 1))
	if inst.work == 0 {
		inst.work = sample
	}
	inst.work += time.Duration(workWeight * float64(sample-inst.work))
}

package placement

import "time"

// Pace bounds the requests to instances that have just started or recovered. Times are
// those that the picker's callers pass.
type Pace interface {
	// Begin begins the return of an instance that has started or announced that it is
	// cold.
	Begin(now time.Time, instance string)
	// Version changes with the results of Returning.
	Version() uint64
	// Returning reports whether an instance is returning, and whether it is known to
	// answer.
	Returning(instance string) (returning, answers bool)
	// Admit reports whether a returning instance gets a request that chooses it. spacing
	// is the time since this VM's previous request to the service.
	Admit(now time.Time, instance string, spacing time.Duration) bool
	// Answered records an answer to a request sent at sentAt. ratio is its latency in
	// multiples of the typical latency and of the latency of the instance's peers; 0 if
	// unknown. crowded is set if the instance has a queue while a peer has free slots.
	Answered(now, sentAt time.Time, instance string, ratio float64, crowded bool)
	// Unanswered records a request that was canceled before its answer, after the time that
	// ratio is, as in Answered.
	Unanswered(now, sentAt time.Time, instance string, ratio float64)
	// Lost records a request without an answer, or with an error.
	Lost(now, sentAt time.Time, instance string)
	// Rejected records a request that the instance rejected.
	Rejected(now, sentAt time.Time, instance string)
}

// SetPace sets the pace of returning instances; without one they get all requests that
// choose them. It must be called before the first Update.
func (p *Picker) SetPace(pace Pace) { p.pace = pace }

// heldBackPenalty is added to the score of a returning instance whose pace doesn't admit
// the request. It exceeds overduePenalty: the instance doesn't stand in for a peer that
// pauses, but for peers that are gone or whose queues are long.
const heldBackPenalty = 10

// paceState is how the pace of an instance affects its score.
type paceState uint8

const (
	noPace     paceState = iota // not returning, or all instances of its service are
	admittable                  // returning; the pace may admit the request
	heldBack                    // the pace doesn't admit the request
)

// minColdExtension is how much later than announced before a cold period must end to count
// as another one.
const minColdExtension = time.Second

// begin begins the return of an instance of the view that is new, or cold again. Those of
// the first view were there before this VM. The limit that a service states for its cold
// instances takes the place of a pace.
func (p *Picker) begin(now time.Time, inst *Instance, isNew bool, wasColdUntil time.Time) {
	if p.pace == nil || inst.cold.limited && now.Before(inst.coldUntil) {
		return
	}
	isColdAgain := now.Before(inst.coldUntil) && inst.coldUntil.Sub(wasColdUntil) > minColdExtension
	if isNew && !p.firstView || isColdAgain {
		p.pace.Begin(now, inst.Announcement.ID)
	}
}

// updateReturning updates which instances of a service are returning, and reports whether
// some are and others aren't. As a return ends, what was observed before and during it is
// discarded, as the pace was raised on good answers.
func (p *Picker) updateReturning(service string) (some bool) {
	if p.pace == nil {
		return false
	}
	version, returning, others := p.pace.Version(), false, false
	for _, inst := range p.services[service] {
		if inst.paceVersion != version {
			was := inst.returning
			inst.paceVersion = version
			inst.returning, inst.answers = p.pace.Returning(inst.Announcement.ID)
			if was && !inst.returning {
				inst.slowness, inst.penalty, inst.rejectPenaltySum = 1, 0, 0
			}
		}
		returning = returning || inst.returning
		others = others || !inst.returning && p.allowed(inst)
	}
	return returning && others
}

// paceState returns how the pace affects the instance's score. A retry goes where it is
// likely to be answered, as its request may fail otherwise.
func (inst *Instance) paceState(isRetry, isHeld bool) paceState {
	switch {
	case isHeld, inst.returning && isRetry && !inst.answers:
		return heldBack
	case inst.returning && !isRetry:
		return admittable
	}
	return noPace
}

// isHeldBack reports whether the pace of the best instance doesn't admit a request to it.
func (p *Picker) isHeldBack(now time.Time, inst *Instance) bool {
	if !inst.returning {
		return false
	}
	var last time.Time
	for _, other := range p.services[inst.Announcement.Service] {
		if other.pickedAt.After(last) {
			last = other.pickedAt
		}
	}
	return !p.pace.Admit(now, inst.Announcement.ID, now.Sub(last))
}

// peers returns the mean slowness of the other instances of the service, at least 1, and
// whether one of them has reported free slots. Returning ones count only if all are.
func (p *Picker) peers(now time.Time, inst *Instance) (slowness float64, hasRoom bool) {
	for _, returning := range []bool{false, true} {
		sum, n := 0.0, 0
		for _, other := range p.services[inst.Announcement.Service] {
			if other == inst || other.returning != returning || !p.allowed(other) {
				continue
			}
			aged := *other
			aged.decay(now)
			sum += aged.slowness
			n++
			hasRoom = hasRoom || other.reportedLoad < 1 && now.Sub(other.loadReportedAt) < loadMaxAge
		}
		if n > 0 {
			return max(sum/float64(n), 1), hasRoom
		}
	}
	return 1, false
}

// observePace passes the end of an attempt on to the pace.
func (p *Picker) observePace(a *Attempt, now time.Time, o Outcome, load *Load) {
	if p.pace == nil {
		return
	}
	id := a.Upstream.ID
	switch o {
	case Answered:
		ratio, crowded := p.relative(a, now, load)
		p.pace.Answered(now, a.sentAt, id, ratio, crowded)
	case Canceled:
		if ratio, _ := p.relative(a, now, nil); ratio > 1 && a.sent {
			p.pace.Unanswered(now, a.sentAt, id, ratio)
		}
	case Failed, Unreachable:
		p.pace.Lost(now, a.sentAt, id)
	case Rejected:
		p.pace.Rejected(now, a.sentAt, id)
	}
}

// minCompared is the ratio to the typical latency from which an attempt is compared with
// the instance's peers. Faster ones are good answers whatever those do.
const minCompared = 1.5

// relative compares the latency of an attempt with the typical latency, and with that of
// the instance's peers, without the time that requests in its queue took.
func (p *Picker) relative(a *Attempt, now time.Time, load *Load) (ratio float64, crowded bool) {
	inst := a.Instance
	if a.typicalLatency > 0 {
		ratio = float64(now.Sub(a.sentAt)) / float64(a.typicalLatency)
	}
	busy := 0.0
	switch {
	case load != nil && load.Slots > 0:
		ratio = max(ratio, load.Slowdown)
		busy = float64(load.Running+load.Queued) / float64(load.Slots)
	case now.Sub(inst.loadReportedAt) < loadMaxAge:
		busy = inst.reportedLoad
	}
	if ratio < minCompared && busy <= 1 {
		return ratio, false
	}
	slowness, hasRoom := p.peers(now, inst)
	return ratio / slowness / max(busy, 1), busy > 1 && hasRoom
}

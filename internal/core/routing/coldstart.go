package routing

import "time"

// turnCold returns an upstream to the first stage of its ramp. The caller holds
// mu.
func (r *Router) turnCold(now time.Time, u *upstream, cause Cause) {
	if !u.ramp.isFirstStage() {
		r.audit(now, u.id, ChangeCold, cause)
	}
	u.ramp.turnCold(now)
	u.spare = 0
	u.scheduleTrials()
	u.refreshLimit()
}

// turnColdAndNotify returns an upstream to the first stage of its ramp and,
// unless it was there already, queues a notice to the other VMs. The caller
// holds mu.
func (r *Router) turnColdAndNotify(now time.Time, u *upstream, cause Cause) {
	if !u.ramp.isFirstStage() {
		r.queue(now, ColdNotice{Upstream: u.id, Instance: u.ramp.instance})
	}
	r.turnCold(now, u, cause)
}

// advance moves the upstream to another stage of its ramp. The caller holds mu.
func (r *Router) advance(now time.Time, u *upstream, stage int, cause Cause) {
	u.ramp.advance(now, stage, u.shares.lastStage())
	change := ChangeRampStage
	if u.ramp.warm {
		change = ChangeWarm
		u.spare = spareUnit
	}
	u.scheduleTrials()
	u.refreshLimit()
	r.audit(now, u.id, change, cause)
}

// scheduleTrials sets the time of the next trial request: never for a warm
// upstream, immediately on a ramp. A suspected upstream has its own schedule.
// The caller holds mu.
func (u *upstream) scheduleTrials() {
	if u.health.suspected {
		return
	}
	if u.ramp.warm {
		u.trialAt.Store(0)
		return
	}
	u.trialAt.Store(1)
}

// notice returns a RampNotice with the present stage. The caller holds mu.
func (u *upstream) notice(now time.Time) RampNotice {
	stage := u.ramp.stage
	if u.ramp.warm {
		stage = u.shares.lastStage() + 1
	}
	return RampNotice{
		Upstream: u.id,
		Instance: u.ramp.instance,
		Stage:    stage,
		Age:      now.Sub(u.ramp.evidenceAt),
	}
}

// OnColdNotice applies a ColdNotice from a peer.
func (r *Router) OnColdNotice(now time.Time, n ColdNotice) {
	u := r.lookup(n.Upstream)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ramp.isFirstStage() || now.Add(-n.Age).Before(u.ramp.coldSince) {
		return
	}
	r.turnCold(now, u, CausePeerNotice)
}

// OnRampNotice applies an unsolicited RampNotice from a peer. The notice is
// assumed to have been in transit for Config.MaxNoticeDelay, and is ignored
// unless its evidence is later than the time when this VM last found the
// upstream cold.
func (r *Router) OnRampNotice(now time.Time, n RampNotice) {
	r.applyRampNotice(now, now.Add(-r.cfg.MaxNoticeDelay), n)
}

// applyRampNotice applies a notice that was sent at sentAt or later.
func (r *Router) applyRampNotice(now, sentAt time.Time, n RampNotice) {
	u := r.lookup(n.Upstream)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ramp.warm || n.Stage <= u.ramp.stage {
		return
	}
	evidence := sentAt.Add(-n.Age)
	if !evidence.After(u.ramp.coldSince) {
		return
	}
	if u.ramp.instanceSeen && n.Instance != u.ramp.instance {
		return
	}
	u.ramp.recordInstance(n.Instance)
	u.ramp.evidenceAt = evidence
	u.health.lastAnswer = now
	r.advance(now, u, n.Stage, CausePeerNotice)
}

package routing

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// Done releases a reservation made by Pick and records the report of its
// attempt.
func (r *Router) Done(now time.Time, service string, shard int, target scatter.Target, rep scatter.Report) {
	t := r.table.Load()
	if t == nil {
		return
	}
	u := t.upstreams[target.Upstream]
	if u == nil || u.address != target.Address || u.shard.shard != shard || u.shard.service != service {
		return
	}
	running := u.gate.release()
	invariant.Check(running, "routing_done_without_pick")
	if !running {
		return
	}
	u.shard.running.Add(-1)
	u.mu.Lock()
	defer u.mu.Unlock()
	r.observe(now, int64(now.Sub(t.epoch)), u, &rep)
	u.refreshLimit()
}

// observe updates the upstream's state from the report of an attempt. The
// caller holds mu.
func (r *Router) observe(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	u.loans.lastUse = now
	if rep.Load >= 0 && isFromUpstream(rep.Outcome) {
		u.load.Store(int32(min(rep.Load, maxLoadHint) * loadScale))
	}
	switch rep.Outcome {
	case scatter.OutcomeAnswered, scatter.OutcomeSnapshotMissing:
		r.onAnswered(now, u, rep)
	case scatter.OutcomeShed:
		r.onShed(now, at, u, rep)
	case scatter.OutcomeDraining:
		r.suspect(now, at, u, CauseUpstreamDrains)
	case scatter.OutcomeConnectFailed:
		r.turnColdAndNotify(now, u, CauseConnectFailed)
		r.suspect(now, at, u, CauseConnectFailed)
	case scatter.OutcomeConnectionLost:
		r.turnColdAndNotify(now, u, CauseConnectionLost)
		r.onFailed(now, at, u, CauseConnectionLost)
	case scatter.OutcomeMismatch, scatter.OutcomeFailed:
		r.onFailed(now, at, u, CauseErrors)
	case scatter.OutcomeCanceled:
		r.onCanceled(now, at, u, rep)
	}
}

// isFromUpstream reports whether the outcome is a response of the upstream
// itself, so that the rest of the report is too.
func isFromUpstream(o scatter.Outcome) bool {
	return o == scatter.OutcomeAnswered || o == scatter.OutcomeSnapshotMissing || o == scatter.OutcomeShed
}

func (r *Router) onAnswered(now time.Time, u *upstream, rep *scatter.Report) {
	silence := now.Sub(u.health.lastAnswer)
	r.endSuspicion(now, u)
	if cause := u.coldCause(rep, silence, &r.cfg); cause != "" {
		r.turnColdAndNotify(now, u, cause)
	}
	u.ramp.recordInstance(rep.Instance)
	if rep.Outcome == scatter.OutcomeAnswered {
		r.recordLatency(now, u, rep)
	}
	u.growSpare(rep.Load)
}

// endSuspicion ends a suspicion. An upstream that was suspected for at least
// suspectedColdAfter counts as cold. The caller holds mu.
func (r *Router) endSuspicion(now time.Time, u *upstream) {
	suspectedFor := now.Sub(u.health.suspectedAt)
	if !u.health.recordAnswer(now) {
		return
	}
	r.audit(now, u.id, ChangeRecovered, CauseAnswers)
	u.scheduleTrials()
	if u.ramp.warm && suspectedFor >= suspectedColdAfter {
		r.turnColdAndNotify(now, u, CauseSilence)
	}
}

// coldCause returns the reason why an answer shows that the upstream is cold,
// or an empty Cause.
func (u *upstream) coldCause(rep *scatter.Report, silence time.Duration, cfg *Config) Cause {
	known := u.ramp.instance
	switch {
	case known != "" && rep.Instance != "" && known != rep.Instance:
		return CauseNewInstance
	case rep.Cold:
		return CauseColdAnswer
	case u.ramp.warm && silence > cfg.IdleLimit:
		return CauseSilence
	}
	return ""
}

func (r *Router) recordLatency(now time.Time, u *upstream, rep *scatter.Report) {
	serviceLatency := time.Duration(u.service.latency.Load())
	wasWarm := u.ramp.warm
	if wasWarm && u.ramp.recordWarmAnswer(now, rep.Latency, serviceLatency) {
		r.turnColdAndNotify(now, u, CauseSlow)
	}
	if !wasWarm && !rep.Cold && u.ramp.recordColdAnswer(now, rep.Latency, serviceLatency, &r.cfg) {
		r.advance(now, u, u.ramp.stage+1, CauseAnswers)
		r.queue(now, u.notice(now))
	}
	sample := rep.Latency
	if serviceLatency > 0 {
		sample = min(sample, coldFactor*serviceLatency)
	}
	updateAverage(&u.latency, int64(sample))
	if u.ramp.warm {
		updateAverage(&u.service.latency, int64(sample))
	}
}

// growSpare increases the spare requests while the upstream reports free
// capacity or no load at all. Reported load never decreases them, because it is
// only a hint; shedding does. The caller holds mu.
func (u *upstream) growSpare(load float64) {
	if !u.ramp.warm || load >= 1 {
		return
	}
	u.spare = min(u.spare+1, u.ownConnections()*spareUnit)
}

const (
	// shedPause is the time without requests after an upstream sheds one
	// without a retry time.
	shedPause = 5 * time.Millisecond
	// shedCost is the reduction of the spare requests by one shed, in units of
	// 1/spareUnit. With a cost of one, they settle where sheds are as frequent
	// as answers that report free capacity.
	shedCost = 1
	// maxShedPause bounds the retry time that an upstream may request.
	maxShedPause = time.Second
)

func (r *Router) onShed(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	r.endSuspicion(now, u)
	u.spare = max(u.spare-shedCost, 0)
	pause := rep.RetryAfter
	if pause <= 0 {
		pause = shedPause
	}
	u.blockedUntil.Store(at + int64(min(pause, maxShedPause)))
	if !u.ramp.warm && u.ramp.stage > 0 {
		r.advance(now, u, u.ramp.stage-1, CauseShed)
	}
}

func (r *Router) onFailed(now time.Time, at int64, u *upstream, cause Cause) {
	u.health.failures++
	if u.health.failures >= failureLimit || u.health.suspected {
		r.suspect(now, at, u, cause)
	}
}

func (r *Router) onCanceled(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	if !u.ramp.warm && !u.health.suspected {
		u.delayTrials(at)
		return
	}
	reference := u.latency.Load()
	if reference == 0 {
		reference = u.service.latency.Load()
	}
	late := int64(rep.Latency) * lateCancelDenominator
	if reference == 0 || late < reference*lateCancelNumerator {
		return
	}
	updateAverage(&u.latency, min(int64(rep.Latency), reference*coldFactor))
	u.health.lateCancels++
	if u.health.lateCancels >= lateCancelLimit || u.health.suspected {
		r.suspect(now, at, u, CauseNoAnswer)
	}
}

// suspect excludes the upstream from selection until a trial is answered. The
// caller holds mu.
func (r *Router) suspect(now time.Time, at int64, u *upstream, cause Cause) {
	if !u.health.suspected {
		r.audit(now, u.id, ChangeSuspected, cause)
	}
	u.health.suspect(now)
	u.spare = 0
	u.trialAt.Store(at + int64(u.health.trialBackoff))
}

// OnConnectionsLost records that the upstream closed this VM's last connection
// to it, as happens when it restarts. It is safe for concurrent use.
func (r *Router) OnConnectionsLost(now time.Time, id string) {
	u := r.lookup(id)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	r.turnColdAndNotify(now, u, CauseConnectionLost)
}

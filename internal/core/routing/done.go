package routing

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/invariant"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// Done ends a reservation of Pick with what became of its attempt.
func (r *Router) Done(now time.Time, service string, shard int, target scatter.Target, rep scatter.Report) {
	t := r.table.Load()
	if t == nil {
		return
	}
	u := t.upstreams[target.Upstream]
	if u == nil || u.address != target.Address || u.shard.shard != shard || u.shard.service != service {
		return
	}
	running := u.gate.leave()
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

// observe learns from the end of an attempt. The caller holds mu.
func (r *Router) observe(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	u.loans.lastUse = now
	if rep.Load >= 0 && isFromUpstream(rep.Outcome) {
		u.load.Store(int32(min(rep.Load, maxLoadHint) * thousandth))
	}
	switch rep.Outcome {
	case scatter.OutcomeAnswered, scatter.OutcomeSnapshotMissing:
		r.answered(now, u, rep)
	case scatter.OutcomeShed:
		r.shed(now, at, u, rep)
	case scatter.OutcomeDraining:
		r.suspect(now, at, u, CauseUpstreamDrains)
	case scatter.OutcomeConnectFailed:
		r.seenCold(now, u, CauseConnectFailed)
		r.suspect(now, at, u, CauseConnectFailed)
	case scatter.OutcomeConnectionLost:
		r.seenCold(now, u, CauseConnectionLost)
		r.failed(now, at, u, CauseConnectionLost)
	case scatter.OutcomeMismatch, scatter.OutcomeFailed:
		r.failed(now, at, u, CauseErrors)
	case scatter.OutcomeCanceled:
		r.canceled(now, at, u, rep)
	}
}

// isFromUpstream reports whether the upstream itself ended the attempt, so that
// the rest of the report is its word.
func isFromUpstream(o scatter.Outcome) bool {
	return o == scatter.OutcomeAnswered || o == scatter.OutcomeSnapshotMissing || o == scatter.OutcomeShed
}

func (r *Router) answered(now time.Time, u *upstream, rep *scatter.Report) {
	silence := now.Sub(u.health.lastAnswer)
	r.recover(now, u)
	if cause := u.coldCause(rep, silence, &r.cfg); cause != "" {
		r.seenCold(now, u, cause)
	}
	u.ramp.learnInstance(rep.Instance)
	if rep.Outcome == scatter.OutcomeAnswered {
		r.learnLatency(now, u, rep)
	}
	u.growSpare(rep.Load)
}

// recover ends a suspicion. An upstream that was suspected for long counts as
// cold. The caller holds mu.
func (r *Router) recover(now time.Time, u *upstream) {
	suspectedFor := now.Sub(u.health.suspectedAt)
	if !u.health.answered(now) {
		return
	}
	r.audit(now, u.id, ChangeRecovered, CauseAnswers)
	u.scheduleTrials()
	if u.ramp.warm && suspectedFor >= suspectedColdAfter {
		r.seenCold(now, u, CauseSilence)
	}
}

// coldCause says why an answer shows a cold upstream. Empty means that it does
// not.
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

func (r *Router) learnLatency(now time.Time, u *upstream, rep *scatter.Report) {
	usual := time.Duration(u.service.latency.Load())
	wasWarm := u.ramp.warm
	if wasWarm && u.ramp.answeredWarm(now, rep.Latency, usual) {
		r.seenCold(now, u, CauseSlow)
	}
	if !wasWarm && !rep.Cold && u.ramp.answeredCold(now, rep.Latency, usual, &r.cfg) {
		r.advance(now, u, u.ramp.stage+1, CauseAnswers)
		r.queue(now, u.notice(now))
	}
	sample := rep.Latency
	if usual > 0 {
		sample = min(sample, coldFactor*usual)
	}
	average(&u.latency, int64(sample))
	if u.ramp.warm {
		average(&u.service.latency, int64(sample))
	}
}

// growSpare lets the spare requests grow while the upstream reports room, or
// nothing. Only a shed shrinks them, because reported load is a hint. The caller
// holds mu.
func (u *upstream) growSpare(load float64) {
	if !u.ramp.warm || load >= 1 {
		return
	}
	u.spare = min(u.spare+1, u.ownConnections()*spareUnit)
}

const (
	// shedPause is the time without a request after a shed that names none.
	shedPause = 5 * time.Millisecond
	// shedCost is what a shed takes from the spare requests, in the units of
	// upstream.spare. With one, they settle where sheds are as frequent as
	// answers that report room.
	shedCost = 1
	// maxShedPause is the longest pause that an upstream may ask for.
	maxShedPause = time.Second
)

func (r *Router) shed(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	r.recover(now, u)
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

func (r *Router) failed(now time.Time, at int64, u *upstream, cause Cause) {
	u.health.failures++
	if u.health.failures >= failureLimit || u.health.suspected {
		r.suspect(now, at, u, cause)
	}
}

func (r *Router) canceled(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	if !u.ramp.warm && !u.health.suspected {
		u.delayTrials(at)
		return
	}
	usual := u.latency.Load()
	if usual == 0 {
		usual = u.service.latency.Load()
	}
	late := int64(rep.Latency) * silentDenominator
	if usual == 0 || late < usual*silentNumerator {
		return
	}
	average(&u.latency, min(int64(rep.Latency), usual*coldFactor))
	u.health.silent++
	if u.health.silent >= silentLimit || u.health.suspected {
		r.suspect(now, at, u, CauseNoAnswer)
	}
}

// suspect takes the upstream out of the choice until a trial is answered. The
// caller holds mu.
func (r *Router) suspect(now time.Time, at int64, u *upstream, cause Cause) {
	if !u.health.suspected {
		r.audit(now, u.id, ChangeSuspected, cause)
	}
	u.health.suspect(now)
	u.spare = 0
	u.trialAt.Store(at + int64(u.health.backoff))
}

// OnConnectionsLost tells that the upstream closed the last connection of this
// VM, as a restart does. It is safe for concurrent use.
func (r *Router) OnConnectionsLost(now time.Time, id string) {
	u := r.lookup(id)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	r.seenCold(now, u, CauseConnectionLost)
}

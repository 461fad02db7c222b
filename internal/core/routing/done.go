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
	if u == nil || u.address != target.Address {
		return
	}
	left := u.running.Add(-1)
	invariant.Check(left >= 0, "routing_running_not_negative")
	at := int64(now.Sub(t.epoch))
	u.mu.Lock()
	defer u.mu.Unlock()
	r.observe(now, at, u, &rep)
	u.refreshLimit()
}

// observe learns from the end of an attempt. The caller holds mu.
func (r *Router) observe(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	if rep.Load >= 0 {
		u.load.Store(int32(min(rep.Load, maxLoadHint) * 1000))
	}
	switch rep.Outcome {
	case scatter.OutcomeAnswered, scatter.OutcomeSnapshotMissing:
		r.answered(now, u, rep)
	case scatter.OutcomeShed:
		r.shed(now, at, u, rep)
	case scatter.OutcomeDraining:
		r.suspect(now, at, u, CauseUpstreamDrains)
	case scatter.OutcomeConnectFailed:
		r.lost(now, at, u, CauseConnectFailed)
	case scatter.OutcomeConnectionLost:
		r.lost(now, at, u, CauseConnectionLost)
	case scatter.OutcomeMismatch, scatter.OutcomeFailed:
		r.failed(now, at, u)
	case scatter.OutcomeCanceled:
		r.canceled(now, at, u, rep)
	}
}

func (r *Router) answered(now time.Time, u *upstream, rep *scatter.Report) {
	silence := now.Sub(u.health.lastAnswer)
	suspectedFor := now.Sub(u.health.suspectedAt)
	if u.health.answered(now) {
		u.probeAt.Store(0)
		r.audit(now, u.id, ChangeRecovered, CauseAnswers)
		if u.ramp.warm && suspectedFor >= suspectedColdAfter {
			r.seenCold(now, u, CauseSilence)
		}
	}
	if cause := coldCause(u, rep, silence, r.cfg.SilenceLimit); cause != "" {
		r.seenCold(now, u, cause)
	}
	u.ramp.learnInstance(rep.Instance)
	if rep.Outcome == scatter.OutcomeAnswered {
		r.learnLatency(now, u, rep)
	}
	u.growSpare(rep.Load, r.cfg.StrictSlots)
}

// seenCold returns the upstream to the first stage and tells the other VMs,
// unless it is there already. The caller holds mu.
func (r *Router) seenCold(now time.Time, u *upstream, cause Cause) {
	if !u.ramp.isFirstStage() {
		r.announceCold(now, u)
	}
	r.turnCold(now, u, cause)
}

// coldCause says why an answer shows a cold upstream. Empty means that it does
// not.
func coldCause(u *upstream, rep *scatter.Report, silence, limit time.Duration) Cause {
	known := u.ramp.instance
	switch {
	case known != "" && rep.Instance != "" && known != rep.Instance:
		return CauseNewInstance
	case rep.Cold:
		return CauseColdAnswer
	case u.ramp.warm && silence > limit:
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
		r.announce(now, u)
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

// growSpare adds to the requests beyond the owned slots while the upstream
// reports room, or nothing.
func (u *upstream) growSpare(load float64, strict bool) {
	if strict || load >= 1 || !u.ramp.warm {
		return
	}
	most := (u.ownConnections() - u.ownSlots()) * spareUnit
	u.spare = max(min(u.spare+1, most), 0)
}

// shedPause is the time without a request after a shed that names none, and
// maxShedPause the longest that an upstream may ask for.
const (
	shedPause    = 20 * time.Millisecond
	maxShedPause = time.Second
)

func (r *Router) shed(now time.Time, at int64, u *upstream, rep *scatter.Report) {
	u.health.answered(now)
	u.probeAt.Store(0)
	u.spare = 0
	pause := rep.RetryAfter
	if pause <= 0 {
		pause = shedPause
	}
	u.blockedUntil.Store(at + int64(min(pause, maxShedPause)))
	if !u.ramp.warm && u.ramp.stage > 0 {
		r.advance(now, u, u.ramp.stage-1, CauseShed)
	}
}

func (r *Router) lost(now time.Time, at int64, u *upstream, cause Cause) {
	r.seenCold(now, u, cause)
	r.suspect(now, at, u, cause)
}

func (r *Router) failed(now time.Time, at int64, u *upstream) {
	u.health.failures++
	if u.health.failures >= failureLimit || u.health.suspected {
		r.suspect(now, at, u, CauseErrors)
	}
}

func (r *Router) canceled(now time.Time, at int64, u *upstream, rep *scatter.Report) {
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

// suspect takes the upstream out of the choice until a probe is answered. The
// caller holds mu.
func (r *Router) suspect(now time.Time, at int64, u *upstream, cause Cause) {
	if !u.health.suspected {
		r.audit(now, u.id, ChangeSuspected, cause)
	}
	u.health.suspect(now)
	u.spare = 0
	u.probeAt.Store(at + int64(u.health.backoff))
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

package routing

import (
	"sort"
	"time"
)

// maxAsked bounds the upstreams of one RampQuery.
const maxAsked = 256

// turnCold returns an upstream to the first stage of its ramp. The caller holds
// mu.
func (r *Router) turnCold(now time.Time, u *upstream, cause Cause) {
	if !u.ramp.isFirstStage() {
		r.audit(now, u.id, ChangeCold, cause)
	}
	u.ramp.turnCold(now)
	u.spare = 0
	u.refreshLimit()
}

// announceCold tells the other VMs that this one saw the upstream cold. The
// caller holds mu.
func (r *Router) announceCold(now time.Time, u *upstream) {
	r.queue(now, ColdNotice{Upstream: u.id, Instance: u.ramp.instance})
}

// advance goes to another stage of the ramp. The caller holds mu.
func (r *Router) advance(now time.Time, u *upstream, stage int, cause Cause) {
	u.ramp.advance(now, stage, u.shares.lastStage())
	change := ChangeRampStage
	if u.ramp.warm {
		change = ChangeWarm
		u.spare = spareUnit
		if r.cfg.StrictSlots {
			u.spare = 0
		}
	}
	u.refreshLimit()
	r.audit(now, u.id, change, cause)
}

// announce tells the other VMs how far the ramp is. The caller holds mu.
func (r *Router) announce(now time.Time, u *upstream) {
	r.queue(now, r.notice(now, u))
}

func (r *Router) notice(now time.Time, u *upstream) RampNotice {
	stage := u.ramp.stage
	if u.ramp.warm {
		stage = u.shares.lastStage() + 1
	}
	return RampNotice{
		Upstream: u.id,
		Instance: u.ramp.instance,
		Stage:    stage,
		Age:      now.Sub(u.ramp.evidence),
	}
}

// askPeers queues one RampQuery for the upstreams that are not warm and whose
// turn has come.
func (r *Router) askPeers(now time.Time) {
	var due []string
	for _, u := range r.table.Load().upstreams {
		if len(due) < maxAsked && u.takeAsk(now) {
			due = append(due, u.id)
		}
	}
	if len(due) == 0 {
		return
	}
	sort.Strings(due)
	r.queue(now, RampQuery{Upstreams: due})
}

// takeAsk reports whether the peers are to be asked now, and sets the time of
// the next question.
func (u *upstream) takeAsk(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.active || u.ramp.warm || now.Before(u.ramp.askAt) {
		return false
	}
	u.ramp.askAfter = min(2*u.ramp.askAfter, lastAsk)
	u.ramp.askAt = now.Add(u.ramp.askAfter)
	return true
}

// OnRampQuery answers a peer's RampQuery with what this VM has evidence of.
func (r *Router) OnRampQuery(now time.Time, q RampQuery) []RampNotice {
	var out []RampNotice
	for _, id := range q.Upstreams {
		u := r.lookup(id)
		if u == nil {
			continue
		}
		if n, ok := r.evidence(now, u); ok {
			out = append(out, n)
		}
	}
	return out
}

func (r *Router) evidence(now time.Time, u *upstream) (RampNotice, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.health.suspected || !u.ramp.evidence.After(u.ramp.coldSince) {
		return RampNotice{}, false
	}
	return r.notice(now, u), true
}

// OnRampNotice takes in a peer's RampNotice. It counts only if its evidence is
// later than this VM's own observation that the upstream is cold.
func (r *Router) OnRampNotice(now time.Time, n RampNotice) {
	u := r.lookup(n.Upstream)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ramp.warm || n.Stage <= u.ramp.stage {
		return
	}
	evidence := now.Add(-n.Age - r.cfg.NoticeTransit)
	if !evidence.After(u.ramp.coldSince) {
		return
	}
	if u.ramp.instanceSeen && n.Instance != u.ramp.instance {
		return
	}
	u.ramp.learnInstance(n.Instance)
	u.ramp.evidence = evidence
	u.health.lastAnswer = now
	r.advance(now, u, n.Stage, CausePeerNotice)
}

// OnColdNotice takes in a peer's ColdNotice.
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
	r.audit(now, u.id, ChangeCold, CausePeerNotice)
	u.ramp.turnCold(now)
	u.spare = 0
	u.refreshLimit()
}

func (r *Router) lookup(id string) *upstream {
	t := r.table.Load()
	if t == nil {
		return nil
	}
	return t.upstreams[id]
}

// learnInstance remembers the upstream's incarnation.
func (r *ramp) learnInstance(instance string) {
	if instance == "" {
		return
	}
	r.instance = instance
	r.instanceSeen = true
}

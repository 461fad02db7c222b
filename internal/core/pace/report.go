package pace

import (
	"cmp"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/fleet"
)

// Tick returns the paces that this VM reports: of the stages that it entered itself, the
// newest. now and bootNow are the same time, bootNow on the clock of the reports.
func (t *Tracker) Tick(now time.Time, bootNow time.Duration) []fleet.UpstreamPace {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.UpstreamPace
	repeat := bootNow%t.policy.RepeatInterval < t.policy.RepeatTime
	for _, e := range t.entries {
		if t.expire(now, e) || !e.found || e.stage.Generation == 0 || !repeat && now.Sub(e.enteredAt) > t.policy.Retention {
			continue
		}
		out = append(out, fleet.UpstreamPace{
			Instance: e.instance, Stage: e.stage.Encode(), PerSecond: e.perSecond, FoundAt: bootNow - now.Sub(e.enteredAt),
		})
	}
	slices.SortFunc(out, func(a, b fleet.UpstreamPace) int {
		return cmp.Or(cmp.Compare(b.FoundAt, a.FoundAt), cmp.Compare(a.Instance, b.Instance))
	})
	return out[:min(len(out), t.policy.MaxReported)]
}

// expire drops an entry that isn't used any more, and reports whether it did.
func (t *Tracker) expire(now time.Time, e *entry) bool {
	limit := t.policy.Retention
	if e.returning || e.bad > 0 {
		limit = t.policy.IdleTimeout
	}
	if now.Sub(e.usedAt) <= limit {
		return false
	}
	if e.returning {
		e.stage.Level = FullLevel
		t.notify(e, Idle, "")
	}
	t.drop(e)
	return true
}

// ApplyReport takes over the stages that another VM found. now and bootNow are as for
// Tick.
func (t *Tracker) ApplyReport(now time.Time, bootNow time.Duration, r fleet.Report) {
	if len(r.Paces) == 0 || r.Isolated {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range r.Paces {
		t.apply(now, now.Add(p.FoundAt-bootNow), r.Address, p)
	}
}

func (t *Tracker) apply(now, foundAt time.Time, peer string, p fleet.UpstreamPace) {
	s := DecodeStage(p.Stage)
	e := t.entries[p.Instance]
	if e != nil && s == e.stage && s != (Stage{Generation: 1}) && foundAt.Before(e.enteredAt) {
		e.found = false // one report of a stage is enough, but for the first, see confirmed
	}
	if e != nil && e.stage.Generation > 0 {
		if s.exceeds(e.stage) && !t.contradicts(e, foundAt) {
			t.adopt(now, foundAt, e, s, peer)
		}
		return
	}
	if s.Level >= FullLevel || now.Sub(foundAt) > t.policy.IdleTimeout {
		return
	}
	e = t.entry(now, p.Instance)
	if t.contradicts(e, foundAt) || !t.confirmed(now, e, peer) {
		return
	}
	e.credit = t.rand.Float64()
	t.totals.Begun++
	t.adopt(now, foundAt, e, s, peer)
}

// contradicts reports whether this VM got a good answer from an instance, which isn't
// returning here, to a request sent after the stage was entered: the peer's links may be
// at fault.
func (t *Tracker) contradicts(e *entry, foundAt time.Time) bool {
	return !e.returning && e.goodSentAt.After(foundAt)
}

// confirmed reports whether enough peers report the return of an instance. One peer may
// have lost its links, unless this VM has lost a request too. A VM that has just started
// takes over what each knows.
func (t *Tracker) confirmed(now time.Time, e *entry, peer string) bool {
	if e.lost || now.Sub(t.started) < t.policy.JoinTime || t.vms.Load() <= 2 {
		return true
	}
	if e.reporter == "" {
		e.reporter = peer
	}
	return e.reporter != peer
}

func (t *Tracker) adopt(now, foundAt time.Time, e *entry, s Stage, peer string) {
	first := e.stage.Generation == 0
	t.set(now, foundAt, e, s)
	e.found = false
	if first { // the peers notify of the others
		t.notify(e, ByPeer, peer)
	}
}

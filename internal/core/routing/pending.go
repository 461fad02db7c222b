package routing

import "time"

// pendingAction is an action that was queued for the next Tick.
type pendingAction struct {
	at     time.Time
	action Action
}

func (r *Router) audit(now time.Time, subject string, change Change, cause Cause) {
	r.queue(now, Audit{At: now, Subject: subject, Change: change, Cause: cause})
}

// queue queues an action for the next Tick.
func (r *Router) queue(now time.Time, a Action) {
	r.pendingMu.Lock()
	r.pending = append(r.pending, pendingAction{at: now, action: a})
	r.pendingMu.Unlock()
	if r.cfg.Notify != nil {
		r.cfg.Notify()
	}
}

func (r *Router) drainActions(now time.Time) []Action {
	r.pendingMu.Lock()
	defer r.pendingMu.Unlock()
	out := make([]Action, 0, len(r.pending))
	for _, p := range r.pending {
		out = append(out, addWaitToAge(p.action, now.Sub(p.at)))
	}
	r.pending = nil
	return out
}

// addWaitToAge adds the time that a notice spent in the queue to its age.
func addWaitToAge(a Action, waited time.Duration) Action {
	switch n := a.(type) {
	case ColdNotice:
		n.Age += waited
		return n
	case RampNotice:
		n.Age += waited
		return n
	}
	return a
}

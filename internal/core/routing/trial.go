package routing

import "time"

// coldTrialInterval is the time between two trial requests to a cold upstream
// while warm replicas are available. It bounds how many queries get a slow
// answer, and lets the ramp progress beside warm replicas.
const coldTrialInterval = 25 * time.Millisecond

func (u *upstream) isTrialDue(at int64) bool {
	due := u.trialAt.Load()
	return due != 0 && at >= due && u.blockedUntil.Load() <= at
}

// IsRamping reports whether an upstream is on its ramp. A request to it should
// run to its deadline even when another replica answers first, because only
// answers advance the ramp. It is safe for concurrent use.
func (r *Router) IsRamping(id string) bool {
	u := r.lookup(id)
	return u != nil && u.cold.Load()
}

// claimTrial claims a due trial for the caller, which then reserves it. Only
// the first attempt of a request may be a trial, because a hedge can cover for
// it.
func (u *upstream) claimTrial(at int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isTrialDue(at) {
		return false
	}
	running := int(u.gate.running())
	if u.health.suspected {
		if running > 0 || u.permittedRequests() < 1 {
			return false
		}
		u.trialAt.Store(at + int64(u.health.trialBackoff))
		u.gate.setLimit(1)
		return true
	}
	if u.ramp.warm || running >= u.permittedRequests() {
		return false
	}
	u.trialAt.Store(at + int64(max(u.ramp.trialInterval, coldTrialInterval)))
	return true
}

// delayTrials doubles the time between the trials of a cold upstream that did
// not answer in time. The caller holds mu.
func (u *upstream) delayTrials(at int64) {
	u.ramp.trialInterval = min(max(2*u.ramp.trialInterval, coldTrialInterval), maxTrialBackoff)
	u.trialAt.Store(at + int64(u.ramp.trialInterval))
}

// endLoanIfDue ends expired loans before a reservation is made.
func (u *upstream) endLoanIfDue(now time.Time, at int64) {
	ends := u.loanEnds.Load()
	if ends == 0 || at < ends {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expireLoans(now)
}

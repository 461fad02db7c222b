package placement

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/routetable"
)

const (
	// maxClosedTime bounds how long an instance can refuse the requests of a VM, as its
	// statement may be wrong.
	maxClosedTime = 5 * time.Minute
	// statementRetention is how long a statement outlives the instance's announcement. An
	// entry may lapse while the instance lives, and be back after it.
	statementRetention = 10 * time.Minute
)

// run identifies one run of an instance's process.
type run struct {
	id   string
	born int64
}

func runOf(u routetable.Upstream) run { return run{u.ID, u.Born} }

// statements holds what instances have stated about themselves in their responses. It
// takes precedence over their announcements, which are older. The Picker guards it.
type statements struct {
	leavingSince map[run]time.Time
	closedUntil  map[run]time.Time
}

func newStatements() statements {
	return statements{leavingSince: map[run]time.Time{}, closedUntil: map[run]time.Time{}}
}

// prune drops statements that are older than their retention.
func (s *statements) prune(now time.Time, instances map[string]*Instance) {
	for r, since := range s.leavingSince {
		if inst := instances[r.id]; now.Sub(since) > statementRetention && (inst == nil || runOf(inst.Announcement) != r) {
			delete(s.leavingSince, r)
		}
	}
	for r, until := range s.closedUntil {
		if now.After(until) {
			delete(s.closedUntil, r)
		}
	}
}

// MarkLeaving records that the instance of an attempt states that it is leaving. It gets
// no new requests; only another run of its process does. first reports whether that is
// news.
func (p *Picker) MarkLeaving(a *Attempt, now time.Time) (first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := runOf(a.Upstream)
	if _, known := p.stated.leavingSince[r]; known {
		return false
	}
	p.stated.leavingSince[r] = now
	return true
}

// MarkClosed records that the instance of an attempt has rejected it and takes no requests
// of this VM for d. It returns the time that counts, which is bounded.
func (p *Picker) MarkClosed(a *Attempt, now time.Time, d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d = min(d, maxClosedTime)
	r := runOf(a.Upstream)
	if until := now.Add(d); until.After(p.stated.closedUntil[r]) {
		p.stated.closedUntil[r] = until
	}
	return d
}

// SetLeavingGrace sets how long an instance that is leaving still gets requests if its
// service has no other one. Without it, callers would get no response until another
// instance starts.
func (p *Picker) SetLeavingGrace(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leavingGrace = d
}

// isLastReplica reports whether no other instance of the service can be used. The caller
// holds mu.
func (p *Picker) isLastReplica(inst *Instance) bool {
	for _, other := range p.services[inst.Announcement.Service] {
		if _, leaving := p.stated.leavingSince[runOf(other.Announcement)]; other != inst && p.allowed(other) && !leaving {
			return false
		}
	}
	return true
}

// isOpen reports whether an instance's statements allow a request. opensIn is the time
// until they do; 0 if that isn't known. The caller holds mu.
func (p *Picker) isOpen(now time.Time, inst *Instance) (open bool, opensIn time.Duration) {
	r := runOf(inst.Announcement)
	if until := p.stated.closedUntil[r]; now.Before(until) {
		return false, until.Sub(now)
	}
	since, leaving := p.stated.leavingSince[r]
	return !leaving || now.Sub(since) < p.leavingGrace && p.isLastReplica(inst), 0
}

package placement

import "time"

// Gone means that the instance is no longer announced, or has started again.
const Gone Exclusion = "gone"

// readmitAfter is how long an attempt may wait for a connection until the limit that its
// instance states has to admit it again.
const readmitAfter = 500 * time.Millisecond

// Excluded returns why an attempt that waits for a connection may no longer be written, by
// what is known of its instance now. Its instance may have left or have been closed, and
// its zone may have been evacuated, since the pick.
func (p *Picker) Excluded(a *Attempt, now time.Time) Exclusion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.excluded(a, now)
}

// Readmit is like Excluded for an attempt that is about to be written. One that has waited is
// admitted again by what limits attempts by time; a Usable attempt must then be written.
func (p *Picker) Readmit(a *Attempt, now time.Time) Exclusion {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.excluded(a, now); e != Usable {
		return e
	}
	inst, waited := a.Instance, now.Sub(a.sentAt)
	if now.Before(inst.coldUntil) && !(a.pickedCold && waited < inst.cold.spacing()) {
		if !inst.cold.allow(now) {
			return Cold
		}
		inst.cold.recordSend(now)
	}
	if waited >= readmitAfter {
		if ok, _ := p.admit(inst); !ok {
			return AtLimit
		}
	}
	return Usable
}

// excluded is Excluded. The caller holds mu.
func (p *Picker) excluded(a *Attempt, now time.Time) Exclusion {
	inst := a.Instance
	if p.instances[a.Upstream.ID] != inst {
		return Gone
	}
	if !p.allowed(inst) {
		return p.notAllowed(inst)
	}
	if open, _ := p.isOpen(now, inst); !open {
		return Closed
	}
	return Usable
}

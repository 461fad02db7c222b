package lease

import (
	"ryecourse.example/ryecourse/internal/core/membership"
)

// Digest summarizes, for peers, a process's view of the VM list.
type Digest struct {
	// VM and Incarnation identify the process.
	VM          string
	Incarnation uint64
	// Revision is the revision of the list that the process has adopted; 0
	// means none. A newer list that is still pending isn't reported.
	Revision uint64
	// Settled reports whether the process's start-up wait is over, so that it
	// may hold slots and support the views of others. It never becomes false
	// again.
	Settled bool
	// Draining reports whether the process has released its slots permanently.
	Draining bool
}

// peerState is what a peer's digests have shown. An answer counts from the time
// at which its probe was sent. A digest that a peer pushes has no such time,
// and can only invalidate slots.
type peerState struct {
	incarnation uint64
	// revision is that of the newest list that the incarnation is known to have
	// adopted.
	revision uint64
	settled  bool
	draining bool
	// answered reports whether answeredProbeAt is set, the time at which the
	// newest answered probe was sent.
	answered        bool
	answeredProbeAt membership.ClockReading
	// supports reports whether supportProbeAt is set, the time at which the
	// newest probe was sent that the peer answered as a settled process.
	supports       bool
	supportProbeAt membership.ClockReading
	// pushedAt is when the incarnation first pushed a digest. Answers of other
	// incarnations count only if their probe was sent later.
	pushed   bool
	pushedAt membership.ClockReading
}

func (e *peerState) applyAnswer(sentAt membership.ClockReading, d Digest) {
	if d.Incarnation != e.incarnation && !e.replaceIncarnation(sentAt, d.Incarnation) {
		return
	}
	e.merge(d)
	if !e.answered || sentAt.Mono > e.answeredProbeAt.Mono {
		e.answered, e.answeredProbeAt = true, sentAt
	}
	if d.Settled && (!e.supports || sentAt.Mono > e.supportProbeAt.Mono) {
		e.supports, e.supportProbeAt = true, sentAt
	}
}

// replaceIncarnation resets the state for another incarnation, unless the probe
// is older than the state of the present one.
func (e *peerState) replaceIncarnation(sentAt membership.ClockReading, incarnation uint64) bool {
	if e.answered && sentAt.Mono <= e.answeredProbeAt.Mono {
		return false
	}
	if e.pushed && sentAt.Mono <= e.pushedAt.Mono {
		return false
	}
	*e = peerState{incarnation: incarnation}
	return true
}

// applyPush applies a digest that the peer pushed.
func (e *peerState) applyPush(now membership.ClockReading, d Digest) {
	if d.Incarnation != e.incarnation {
		// A new incarnation invalidates the answers of the previous one,
		// because the VM may be settled again.
		*e = peerState{incarnation: d.Incarnation, pushed: true, pushedAt: now}
	}
	e.merge(d)
}

// merge merges the fields that only ever increase within an incarnation.
func (e *peerState) merge(d Digest) {
	e.revision = max(e.revision, d.Revision)
	e.settled = e.settled || d.Settled
	e.draining = e.draining || d.Draining
}

// supportUntil returns when the peer's support of the view ends.
func (e *peerState) supportUntil(revision uint64) (membership.ClockReading, bool) {
	if !e.supports || e.revision > revision {
		return membership.ClockReading{}, false
	}
	return e.supportProbeAt.Add(AnswerTerm), true
}

// noSlotUntil returns until when the VM is known to hold no slot.
func (e *peerState) noSlotUntil(revision uint64) (membership.ClockReading, bool) {
	if !e.answered || e.revision > revision {
		return membership.ClockReading{}, false
	}
	if e.draining {
		return e.answeredProbeAt.Add(DrainTerm), true
	}
	if e.settled {
		return membership.ClockReading{}, false
	}
	return e.answeredProbeAt.Add(AnswerTerm), true
}

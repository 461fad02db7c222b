package lease

import (
	"ryecourse.example/ryecourse/internal/core/membership"
)

// Digest is what a process tells its peers about its view of the list.
type Digest struct {
	// VM and Incarnation identify the process.
	VM          string
	Incarnation uint64
	// Revision is the newest list that the process knows; 0 is none.
	Revision uint64
	// Settled tells that the process has been up long enough to own slots and
	// to support the view of others. It never turns false again.
	Settled bool
	// Draining tells that the process has given up its slots for good.
	Draining bool
}

// peerState is what one VM has said. An answer counts from when it was asked
// for; a digest that a peer sent of its own accord has no such time, and only
// takes rights away.
type peerState struct {
	incarnation uint64
	// revision is the newest list that the incarnation is known to have.
	revision uint64
	settled  bool
	draining bool
	// answered tells whether askedAt is set.
	answered        bool
	answeredProbeAt membership.Reading
	// supports tells whether supportAt is set: the ask of the newest answer that
	// was given in the settled state.
	supports       bool
	supportProbeAt membership.Reading
	// pushedAt is when the incarnation first sent a digest of its own accord.
	// The answers of other incarnations count only if asked for later.
	pushed   bool
	pushedAt membership.Reading
}

func (e *peerState) applyAnswer(sentAt membership.Reading, d Digest) {
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

// replaceIncarnation starts over with another incarnation, unless the ask is older than
// what is known of the present one.
func (e *peerState) replaceIncarnation(sentAt membership.Reading, incarnation uint64) bool {
	if e.answered && sentAt.Mono <= e.answeredProbeAt.Mono {
		return false
	}
	if e.pushed && sentAt.Mono <= e.pushedAt.Mono {
		return false
	}
	*e = peerState{incarnation: incarnation}
	return true
}

// applyPush takes a digest that came unasked.
func (e *peerState) applyPush(now membership.Reading, d Digest) {
	if d.Incarnation != e.incarnation {
		// An unknown incarnation ends what the earlier one has said, because the
		// VM may be settled again.
		*e = peerState{incarnation: d.Incarnation, pushed: true, pushedAt: now}
	}
	e.merge(d)
}

// merge takes what never turns back within an incarnation.
func (e *peerState) merge(d Digest) {
	e.revision = max(e.revision, d.Revision)
	e.settled = e.settled || d.Settled
	e.draining = e.draining || d.Draining
}

// supportUntil returns the end of the peer's support of the view.
func (e *peerState) supportUntil(revision uint64) (membership.Reading, bool) {
	if !e.supports || e.revision > revision {
		return membership.Reading{}, false
	}
	return e.supportProbeAt.Add(AnswerTerm), true
}

// noSlotUntil returns the end of the knowledge that the VM owns no slot.
func (e *peerState) noSlotUntil(revision uint64) (membership.Reading, bool) {
	if !e.answered || e.revision > revision {
		return membership.Reading{}, false
	}
	if e.draining {
		return e.answeredProbeAt.Add(DrainTerm), true
	}
	if e.settled {
		return membership.Reading{}, false
	}
	return e.answeredProbeAt.Add(AnswerTerm), true
}

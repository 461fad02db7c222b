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

// evidence is what one VM has said. An answer counts from when it was asked
// for; a digest that a peer sent of its own accord has no such time, and only
// takes rights away.
type evidence struct {
	incarnation uint64
	// revision is the newest list that the incarnation is known to have.
	revision uint64
	settled  bool
	draining bool
	// answered tells whether askedAt is set.
	answered bool
	askedAt  membership.Reading
	// supports tells whether supportAt is set: the ask of the newest answer that
	// was given in the settled state.
	supports  bool
	supportAt membership.Reading
	// pushedAt is when the incarnation first sent a digest of its own accord.
	// The answers of other incarnations count only if asked for later.
	pushed   bool
	pushedAt membership.Reading
}

func (e *evidence) answer(askedAt membership.Reading, d Digest) {
	if d.Incarnation != e.incarnation && !e.replace(askedAt, d.Incarnation) {
		return
	}
	e.learn(d)
	if !e.answered || askedAt.Mono > e.askedAt.Mono {
		e.answered, e.askedAt = true, askedAt
	}
	if d.Settled && (!e.supports || askedAt.Mono > e.supportAt.Mono) {
		e.supports, e.supportAt = true, askedAt
	}
}

// replace starts over with another incarnation, unless the ask is older than
// what is known of the present one.
func (e *evidence) replace(askedAt membership.Reading, incarnation uint64) bool {
	if e.answered && askedAt.Mono <= e.askedAt.Mono {
		return false
	}
	if e.pushed && askedAt.Mono <= e.pushedAt.Mono {
		return false
	}
	*e = evidence{incarnation: incarnation}
	return true
}

// push takes a digest that came unasked.
func (e *evidence) push(now membership.Reading, d Digest) {
	if d.Incarnation != e.incarnation {
		// An unknown incarnation ends what the earlier one has said, because the
		// VM may be settled again.
		*e = evidence{incarnation: d.Incarnation, pushed: true, pushedAt: now}
	}
	e.learn(d)
}

// learn takes what never turns back within an incarnation.
func (e *evidence) learn(d Digest) {
	e.revision = max(e.revision, d.Revision)
	e.settled = e.settled || d.Settled
	e.draining = e.draining || d.Draining
}

// supportUntil returns the end of the peer's support of the view.
func (e *evidence) supportUntil(revision uint64) (membership.Reading, bool) {
	if !e.supports || e.revision > revision {
		return membership.Reading{}, false
	}
	return e.supportAt.Add(AnswerTerm), true
}

// outUntil returns the end of the knowledge that the VM owns no slot.
func (e *evidence) outUntil(revision uint64) (membership.Reading, bool) {
	if !e.answered || e.revision > revision {
		return membership.Reading{}, false
	}
	if e.draining {
		return e.askedAt.Add(DrainTerm), true
	}
	if e.settled {
		return membership.Reading{}, false
	}
	return e.askedAt.Add(AnswerTerm), true
}

package lease

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// SlotHandover is the state of a slot that is passed to its successor.
type SlotHandover struct {
	Slot int
	// Withheld is the share that the sender has lent from the slot, by
	// customer. The successor starts to use it LoanReclaimWait later.
	Withheld map[string]Share
	// Tokens are passed on, by customer. The sender no longer uses them.
	Tokens map[string]int64
}

// Handover passes slots to one process.
type Handover struct {
	// Sender is the sender's digest.
	Sender Digest
	// ToIncarnation is the incarnation of the receiving process.
	ToIncarnation uint64
	// OlderListsExpired reports that no process with an older list holds a slot.
	OlderListsExpired bool
	Slots             []SlotHandover
}

// SlotChange reports that a slot was acquired or lost.
type SlotChange struct {
	Slot     int
	Acquired bool
	// Tokens come with an acquired slot, by customer.
	Tokens map[string]int64
	// CanHandOver reports whether a lost slot can be handed over: it has no
	// loans of an earlier holder and was released before it expired.
	CanHandOver bool
	// Successor is the VM that holds the slot next, if known.
	Successor string
	// SuccessorIncarnation is the incarnation of the process on Successor.
	SuccessorIncarnation uint64
}

// Update advances the state of the slots to now. It returns the slots that
// changed.
func (o *Owner) Update(now membership.ClockReading) []SlotChange {
	out := o.updateSlots(now)
	if o.adoptPending(now) {
		out = append(out, o.updateSlots(now)...)
	}
	return out
}

func (o *Owner) updateSlots(now membership.ClockReading) []SlotChange {
	o.updateSettled(now)
	o.updateListKnown(now)
	expired := now.Reached(o.heldUntil)
	mayHold := o.settled && !o.draining && o.Supported(now)
	var out []SlotChange
	for i := range o.slots {
		s := &o.slots[i]
		may := mayHold && s.eligible && o.higherRankedInactive(s, now)
		if s.held && (expired || !may) {
			out = append(out, o.release(i, now))
		}
		if !s.held && may && o.mayAcquire(s, now) {
			tokens := o.acquire(s, now)
			out = append(out, SlotChange{Slot: i, Acquired: true, Tokens: tokens})
		}
		if s.held {
			s.heldRevision = o.list.Revision
		}
	}
	o.heldUntil, _ = o.HeldUntil(now)
	return out
}

// mayAcquire reports whether the further conditions for acquiring a slot are
// met.
func (o *Owner) mayAcquire(s *slot, now membership.ClockReading) bool {
	if !o.announced(now) {
		return false
	}
	if s.handover != nil && !o.handoverUsable(s, now) {
		s.handover = nil
	}
	return s.handover != nil || o.olderListsExpired(now)
}

// handoverUsable reports whether no other process can have held the slot since
// the handover: it is recent, and no higher-ranked candidate but its sender has
// settled.
func (o *Owner) handoverUsable(s *slot, now membership.ClockReading) bool {
	h := s.handover
	if now.Reached(h.receivedAt.Add(HandoverTerm)) {
		return false
	}
	for _, id := range s.higherRanked {
		e := o.peers[id]
		same := id == h.sender && e.incarnation == h.senderIncarnation
		if e.settled && !same {
			return false
		}
	}
	return true
}

// acquire makes the process the slot's holder. It returns the tokens handed
// over with the slot.
func (o *Owner) acquire(s *slot, now membership.ClockReading) map[string]int64 {
	var tokens map[string]int64
	s.held = true
	switch {
	case s.handover != nil:
		s.withheld = s.handover.withheld
		if s.withheld == nil {
			s.withheld = map[string]Share{}
		}
		s.loansEndAt = now.Mono + LoanReclaimWait
		tokens = s.handover.tokens
	case o.canResume(s):
	default:
		s.withheld = nil
		s.loansEndAt = now.Mono + LoanReclaimWait
	}
	s.handover = nil
	return tokens
}

// canResume reports whether no other process can have held the slot since this
// one did.
func (o *Owner) canResume(s *slot) bool {
	return len(s.higherRanked) == 0 && s.heldRevision == o.list.Revision
}

func (o *Owner) release(i int, now membership.ClockReading) SlotChange {
	s := &o.slots[i]
	s.held = false
	s.handover = nil
	c := SlotChange{Slot: i, CanHandOver: now.Mono >= s.loansEndAt && !now.Reached(o.heldUntil)}
	for _, id := range s.higherRanked {
		e := o.peers[id]
		if e != nil && e.settled && !e.draining {
			c.Successor, c.SuccessorIncarnation = id, e.incarnation
			break
		}
	}
	return c
}

// Leave releases all slots permanently. The changes name the successors.
func (o *Owner) Leave(now membership.ClockReading) []SlotChange {
	o.draining = true
	var out []SlotChange
	for i := range o.slots {
		s := &o.slots[i]
		if !s.held {
			continue
		}
		c := o.release(i, now)
		if c.Successor == "" {
			c.Successor, c.SuccessorIncarnation = o.successorAfterSelf(i)
		}
		out = append(out, c)
	}
	return out
}

// successorAfterSelf returns the highest-ranked candidate other than this VM
// that is settled and not draining.
func (o *Owner) successorAfterSelf(slot int) (string, uint64) {
	for _, vm := range SlotCandidates(o.self.Zone, slot, o.zoneVMs) {
		e := o.peers[vm.ID]
		if vm.ID != o.self.ID && e != nil && e.settled && !e.draining {
			return vm.ID, e.incarnation
		}
	}
	return "", 0
}

// OlderListsExpired reports whether no process with an older list holds a slot. It is
// about the list; Settled is about the process.
func (o *Owner) OlderListsExpired(now membership.ClockReading) bool {
	return o.list != nil && o.olderListsExpired(now)
}

// OnHandover processes a handover from a slot's previous holder. It counts only
// for this incarnation, under the same list, and for slots that this process
// has not held under that list, because a delayed handover could be outdated
// then.
func (o *Owner) OnHandover(now membership.ClockReading, h Handover) {
	o.OnPush(now, h.Sender)
	o.probeSoon(h.Sender.VM)
	if o.list == nil || h.ToIncarnation != o.incarnation || h.Sender.Revision != o.list.Revision || !h.OlderListsExpired {
		return
	}
	for _, sh := range h.Slots {
		if sh.Slot < 0 || sh.Slot >= SlotsPerZone {
			continue
		}
		s := &o.slots[sh.Slot]
		if s.held || s.heldRevision == o.list.Revision {
			continue
		}
		s.handover = &pendingHandover{
			withheld:          sh.Withheld,
			tokens:            sh.Tokens,
			sender:            h.Sender.VM,
			senderIncarnation: h.Sender.Incarnation,
			receivedAt:        now,
		}
	}
}

// UntilNextIncrease returns the wait until the available share of a held slot
// grows, or 0.
func (o *Owner) UntilNextIncrease(now membership.ClockReading) time.Duration {
	var next time.Duration
	for i := range o.slots {
		s := &o.slots[i]
		if s.held && s.loansEndAt > now.Mono && (next == 0 || s.loansEndAt-now.Mono < next) {
			next = s.loansEndAt - now.Mono
		}
	}
	return next
}

package lease

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// SlotHandover is what a process tells the next holder of a slot.
type SlotHandover struct {
	Slot int
	// Withheld is what the giver has lent from the slot, by customer. The next
	// holder adds it LoanWait later.
	Withheld map[string]Share
	// Tokens go along, by customer. The giver has given them up.
	Tokens map[string]int64
}

// Handover passes slots on to one process.
type Handover struct {
	// Sender is the sender's digest.
	Sender Digest
	// ToIncarnation is the incarnation that the slots are for.
	ToIncarnation uint64
	// ListSettled tells that no process with an older list holds a slot.
	ListSettled bool
	Slots       []SlotHandover
}

// SlotChange tells that a slot was acquired or lost.
type SlotChange struct {
	Slot     int
	Acquired bool
	// Tokens come with an acquired slot, by customer.
	Tokens map[string]int64
	// CanHandOver tells whether a lost slot has no loans of an earlier holder.
	CanHandOver bool
	// Successor is the VM that the slot passes to, if it is known.
	Successor string
	// SuccessorIncarnation is the process on Next.
	SuccessorIncarnation uint64
}

// Update moves the slots' states on. It returns the slots that changed.
func (o *Owner) Update(now membership.Reading) []SlotChange {
	out := o.step(now)
	if o.adoptNext(now) {
		out = append(out, o.step(now)...)
	}
	return out
}

func (o *Owner) step(now membership.Reading) []SlotChange {
	o.settle(now)
	o.learnKnown(now)
	lapsed := now.Reached(o.rights)
	mayOwn := o.settled && !o.draining && o.Supported(now)
	var out []SlotChange
	for i := range o.slots {
		s := &o.slots[i]
		may := mayOwn && s.eligible && o.outAt(s, now)
		if s.held && (lapsed || !may) {
			out = append(out, o.lose(i, now))
		}
		if !s.held && may && o.mayTake(s, now) {
			tokens := o.take(s, now)
			out = append(out, SlotChange{Slot: i, Acquired: true, Tokens: tokens})
		}
		if s.held {
			s.heldRevision = o.list.Revision
		}
	}
	o.rights, _ = o.HeldUntil(now)
	return out
}

// mayTake is what a process must fulfil besides to become a holder.
func (o *Owner) mayTake(s *slot, now membership.Reading) bool {
	if !o.announced(now) {
		return false
	}
	if s.handover != nil && !o.usable(s, now) {
		s.handover = nil
	}
	return s.handover != nil || o.listSettled(now)
}

// usable reports whether nobody can have held the slot since the handover: no
// other better candidate has settled in the meantime.
func (o *Owner) usable(s *slot, now membership.Reading) bool {
	h := s.handover
	if now.Reached(h.receivedAt.Add(HandoverTerm)) {
		return false
	}
	for _, id := range s.better {
		e := o.peers[id]
		same := id == h.giver && e.incarnation == h.incarnation
		if e.settled && !same {
			return false
		}
	}
	return true
}

// take returns the tokens that come with the slot.
func (o *Owner) take(s *slot, now membership.Reading) map[string]int64 {
	var tokens map[string]int64
	s.held = true
	switch {
	case s.handover != nil:
		s.withheld = s.handover.withheld
		if s.withheld == nil {
			s.withheld = map[string]Share{}
		}
		s.clearAt = now.Mono + LoanReclaimWait
		tokens = s.handover.tokens
	case o.resumes(s):
	default:
		s.withheld = nil
		s.clearAt = now.Mono + LoanReclaimWait
	}
	s.handover = nil
	return tokens
}

// resumes reports whether nobody else can have held the slot since this
// process did.
func (o *Owner) resumes(s *slot) bool {
	return len(s.better) == 0 && s.heldRevision == o.list.Revision
}

func (o *Owner) lose(i int, now membership.Reading) SlotChange {
	s := &o.slots[i]
	s.held = false
	s.handover = nil
	c := SlotChange{Slot: i, CanHandOver: now.Mono >= s.clearAt && !now.Reached(o.rights)}
	for _, id := range s.better {
		e := o.peers[id]
		if e != nil && e.settled && !e.draining {
			c.Successor, c.SuccessorIncarnation = id, e.incarnation
			break
		}
	}
	return c
}

// Leave gives up all slots for good. The changes name the next candidates.
func (o *Owner) Leave(now membership.Reading) []SlotChange {
	o.draining = true
	var out []SlotChange
	for i := range o.slots {
		s := &o.slots[i]
		if !s.held {
			continue
		}
		c := o.lose(i, now)
		if c.Successor == "" {
			c.Successor, c.SuccessorIncarnation = o.nextAfterSelf(i)
		}
		out = append(out, c)
	}
	return out
}

// nextAfterSelf returns the best settled candidate below this VM.
func (o *Owner) nextAfterSelf(slot int) (string, uint64) {
	for _, vm := range SlotCandidates(o.self.Zone, slot, o.zone) {
		e := o.peers[vm.ID]
		if vm.ID != o.self.ID && e != nil && e.settled && !e.draining {
			return vm.ID, e.incarnation
		}
	}
	return "", 0
}

// ListSettled reports whether no process with an older list holds a slot.
func (o *Owner) ListSettled(now membership.Reading) bool {
	return o.list != nil && o.listSettled(now)
}

// OnHandover takes the word of a slot's previous holder. It counts only for
// this incarnation, under the same list, and for slots that this process has
// not held under that list, because a delayed handover could be outdated then.
func (o *Owner) OnHandover(now membership.Reading, h Handover) {
	o.OnPush(now, h.Sender)
	o.probeSoon(h.Sender.VM)
	if o.list == nil || h.ToIncarnation != o.incarnation || h.Sender.Revision != o.list.Revision || !h.ListSettled {
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
			withheld:    sh.Withheld,
			tokens:      sh.Tokens,
			giver:       h.Sender.VM,
			incarnation: h.Sender.Incarnation,
			receivedAt:  now,
		}
	}
}

// UntilNextIncrease returns the wait until the share of a held slot grows, or 0.
func (o *Owner) UntilNextIncrease(now membership.Reading) time.Duration {
	var next time.Duration
	for i := range o.slots {
		s := &o.slots[i]
		if s.held && s.clearAt > now.Mono && (next == 0 || s.clearAt-now.Mono < next) {
			next = s.clearAt - now.Mono
		}
	}
	return next
}

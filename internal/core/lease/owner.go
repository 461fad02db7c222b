package lease

import (
	"fmt"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// Owner decides which slots of its zone a process holds.
//
// The invariant: no two processes hold a slot at the same time, and a process
// that acquires a slot knows when the loans of the previous holder have ended.
// It rests on four rules. The package comment explains the terms.
//
//   - A process holds slots only while a quorum supports its view: witnesses
//     that have answered a probe within AnswerTerm and know no newer VM list.
//     A quorum is two thirds of the fleet's witnesses for the zone, or all of
//     those from the zone.
//   - A slot's candidates are ranked by rendezvous hashing. A process holds a
//     slot only while every higher-ranked candidate has reported, within
//     AnswerTerm, that it isn't settled, or, within DrainTerm, that it is
//     draining.
//   - A process that settles holds nothing until all VMs of its zone know that
//     it has settled, or DrainTerm has passed.
//   - Without a handover, a process acquires a slot only after a quorum of the
//     fleet's witnesses has known the list for HoldDown, or for
//     NoSettledPeerWait if that quorum need not intersect with every one under
//     the previous list. The slot's whole share is then withheld for
//     LoanReclaimWait, unless no other process can have held the slot since
//     this one did. After a handover, only the share that the previous holder
//     had lent is withheld.
type Owner struct {
	self        membership.VM
	incarnation uint64
	startedAt   membership.ClockReading

	list *membership.List
	// pendingList is a newer list. It isn't adopted until unheardVMs have
	// answered or adoptDeadline, on the monotonic clock, has passed.
	pendingList   *membership.List
	adoptDeadline time.Duration
	unheardVMs    []membership.VM
	selfListed    bool
	zoneVMs       []membership.VM
	// fleetWitnesses are the zone's witnesses from the whole fleet, and
	// zoneWitnesses those from the zone.
	fleetWitnesses []membership.VM
	zoneWitnesses  []membership.VM
	// otherWitnessSets are the witness sets of other zones that this VM is a
	// member of.
	otherWitnessSets [][]membership.VM

	// probeTargets are the VMs to probe regularly while the list stays the
	// same.
	probeTargets []membership.VM

	peers map[string]*peerState
	// probedAt holds, by VM ID, when a peer was last probed, on the monotonic
	// clock.
	probedAt map[string]time.Duration

	settled   bool
	settledAt membership.ClockReading
	draining  bool

	// listKnown reports whether a quorum knows the list, since listKnownAt on
	// the monotonic clock. olderListWait later, no process with an older list
	// can hold a slot.
	listKnown     bool
	listKnownAt   time.Duration
	olderListWait time.Duration

	slots [SlotsPerZone]slot
	// heldUntil is the result of HeldUntil at the last Update. Slots are
	// released when it is reached, even if a peer's answer that arrives later
	// confirms the view: others may have held the slots meanwhile.
	heldUntil membership.ClockReading
}

// slot is the state of one numbered slot of the zone.
type slot struct {
	// higherRanked are the candidates ranked above this VM.
	higherRanked []string
	// eligible reports whether this VM is one of the first maxCandidates in
	// rank.
	eligible bool
	held     bool
	// heldRevision is the revision of the list under which the slot was last
	// held.
	heldRevision uint64
	// loansEndAt is the end of the wait for loans of the previous holder, on
	// the monotonic clock.
	loansEndAt time.Duration
	// withheld is the share that the previous holder had lent from the slot, by
	// customer. If it is nil, the share is unknown and everything is withheld.
	withheld map[string]Share
	// handover is the previous holder's handover, until it is used or discarded.
	handover *pendingHandover
}

// pendingHandover is a received handover that hasn't been used.
type pendingHandover struct {
	withheld          map[string]Share
	tokens            map[string]int64
	sender            string
	senderIncarnation uint64
	receivedAt        membership.ClockReading
}

// NewOwner returns an Owner without slots.
func NewOwner(self membership.VM, incarnation uint64, now membership.ClockReading) *Owner {
	return &Owner{
		self:        self,
		incarnation: incarnation,
		startedAt:   now,
		peers:       make(map[string]*peerState),
		probedAt:    make(map[string]time.Duration),
	}
}

// SetList stores a newer list as pending, adopts it if it is due, and returns
// the slots that changed. Slots that are held under both lists are kept.
//
// If the list ranks VMs above this one for a held slot, and they haven't
// answered a probe yet, the process first probes them, for up to AdoptWait, and
// uses the previous list meanwhile. Under the new list it could not hold the
// slot without their answers, and might know no successor to hand it to.
func (o *Owner) SetList(now membership.ClockReading, list *membership.List) []SlotChange {
	if o.pendingList == nil {
		o.adoptDeadline = now.Mono + AdoptWait
	}
	o.pendingList = list
	return o.Update(now)
}

// adoptPending adopts the pending list if it is due, and reports whether it did.
func (o *Owner) adoptPending(now membership.ClockReading) bool {
	if o.pendingList == nil {
		return false
	}
	o.unheardVMs = o.unheardHigherRanked(o.pendingList)
	if len(o.unheardVMs) > 0 && now.Mono < o.adoptDeadline {
		return false
	}
	o.applyList(o.pendingList)
	o.pendingList, o.unheardVMs = nil, nil
	return true
}

// unheardHigherRanked returns the VMs that the list ranks above this one for a
// slot that it holds, and that haven't answered a probe.
func (o *Owner) unheardHigherRanked(list *membership.List) []membership.VM {
	var out []membership.VM
	zone := membership.InZone(list.VMs, o.self.Zone)
	for i := range o.slots {
		if !o.slots[i].held {
			continue
		}
		for _, vm := range SlotCandidates(o.self.Zone, i, zone) {
			if vm.ID == o.self.ID {
				break
			}
			if e := o.peers[vm.ID]; e == nil || !e.answered {
				out = append(out, vm)
			}
		}
	}
	return out
}

func (o *Owner) applyList(list *membership.List) {
	previous := o.fleetWitnesses
	o.list = list
	o.zoneVMs = membership.InZone(list.VMs, o.self.Zone)
	o.selfListed = slices.ContainsFunc(o.zoneVMs, o.isSelf)
	o.fleetWitnesses = fleetWitnessesFor(o.self.Zone, list.VMs)
	o.otherWitnessSets = o.findOtherWitnessSets()
	o.zoneWitnesses = membership.RendezvousN("zone-witness", withoutLeaving(o.zoneVMs), maxZoneWitnesses)
	o.listKnown = false
	// If the quorums intersect, every fleet quorum under the previous list has a
	// member that knows this list from listKnownAt on, and answers from before
	// that count for AnswerTerm, which is less than HoldDown. Otherwise a quorum
	// under the previous list may have no such member, so the wait is longer.
	o.olderListWait = NoSettledPeerWait
	if quorumsIntersect(previous, o.fleetWitnesses) {
		o.olderListWait = HoldDown
	}
	for i := range o.slots {
		o.rankCandidates(i)
	}
	o.probeTargets = o.findProbeTargets()
	o.pruneUnlisted()
}

func (o *Owner) isSelf(vm membership.VM) bool {
	return vm.ID == o.self.ID
}

// rankCandidates determines the candidates above this VM for one slot and
// whether this VM is one itself. It discards a handover, which belongs to the
// previous list.
func (o *Owner) rankCandidates(i int) {
	s := &o.slots[i]
	s.higherRanked, s.eligible, s.handover = nil, false, nil
	if !o.selfListed {
		return
	}
	for _, vm := range SlotCandidates(o.self.Zone, i, o.zoneVMs) {
		if vm.ID == o.self.ID {
			s.eligible = true
			return
		}
		s.higherRanked = append(s.higherRanked, vm.ID)
	}
}

// SlotCandidates returns the VMs that may hold a slot, highest rank first. vms
// are the zone's VMs.
func SlotCandidates(zone string, slot int, vms []membership.VM) []membership.VM {
	return membership.RendezvousN(fmt.Sprintf("slot/%s/%d", zone, slot), vms, maxCandidates)
}

// fleetWitnessesFor returns the VMs of the whole fleet that support the views
// of one zone's VMs. Each zone has its own set, which bounds the probes that a
// witness receives.
func fleetWitnessesFor(zone string, vms []membership.VM) []membership.VM {
	return membership.RendezvousN("witness/"+zone, withoutLeaving(vms), maxWitnesses)
}

// withoutLeaving returns the VMs that the platform that runs them isn't
// removing, or all if it removes all of them. A VM that is being removed may
// stop answering at any time, so it is no witness. It stays a candidate for its
// slots until it reports that it is draining.
func withoutLeaving(vms []membership.VM) []membership.VM {
	var out []membership.VM
	for _, vm := range vms {
		if !vm.Leaving {
			out = append(out, vm)
		}
	}
	if len(out) == 0 {
		return vms
	}
	return out
}

// findOtherWitnessSets returns the fleet-wide witness sets of other zones that
// this VM is a member of.
func (o *Owner) findOtherWitnessSets() [][]membership.VM {
	seen := map[string]bool{o.self.Zone: true}
	var out [][]membership.VM
	for _, vm := range o.list.VMs {
		if seen[vm.Zone] {
			continue
		}
		seen[vm.Zone] = true
		set := fleetWitnessesFor(vm.Zone, o.list.VMs)
		if slices.ContainsFunc(set, o.isSelf) {
			out = append(out, set)
		}
	}
	return out
}

// pruneUnlisted drops the state of VMs that are no longer listed.
func (o *Owner) pruneUnlisted() {
	listed := make(map[string]bool, len(o.list.VMs))
	for _, vm := range o.list.VMs {
		listed[vm.ID] = true
	}
	for id := range o.peers {
		if !listed[id] {
			delete(o.peers, id)
		}
	}
	for id := range o.probedAt {
		if !listed[id] {
			delete(o.probedAt, id)
		}
	}
}

// quorum returns the number of witnesses needed to support a view.
func quorum(witnesses int) int {
	return (2*witnesses + 2) / 3
}

// quorumsIntersect reports whether every quorum of a shares a member with every
// quorum of b. It returns false if a is empty.
func quorumsIntersect(a, b []membership.VM) bool {
	if len(a) == 0 {
		return false
	}
	union := len(a)
	for _, vm := range b {
		if !slices.ContainsFunc(a, func(o membership.VM) bool { return o.ID == vm.ID }) {
			union++
		}
	}
	return quorum(len(a))+quorum(len(b)) > union
}

// Digest returns the digest that is sent to peers.
func (o *Owner) Digest() Digest {
	d := Digest{VM: o.self.ID, Incarnation: o.incarnation, Settled: o.settled, Draining: o.draining}
	if o.list != nil {
		d.Revision = o.list.Revision
	}
	return d
}

// OnAnswer processes the answer to a probe that was sent at sentAt.
func (o *Owner) OnAnswer(sentAt membership.ClockReading, d Digest) {
	if d.VM == o.self.ID {
		return
	}
	o.peerStateOf(d).applyAnswer(sentAt, d)
}

// OnPush processes a digest that a peer sent without being probed.
func (o *Owner) OnPush(now membership.ClockReading, d Digest) {
	if d.VM == o.self.ID {
		return
	}
	o.peerStateOf(d).applyPush(now, d)
}

func (o *Owner) peerStateOf(d Digest) *peerState {
	e := o.peers[d.VM]
	if e == nil {
		e = &peerState{incarnation: d.Incarnation}
		o.peers[d.VM] = e
	}
	return e
}

// Settled reports whether the process may hold slots and support the views of
// others.
func (o *Owner) Settled() bool { return o.settled }

// Draining reports whether Leave was called.
func (o *Owner) Draining() bool { return o.draining }

// Supported reports whether a quorum supports the view.
func (o *Owner) Supported(now membership.ClockReading) bool {
	until, ok := o.supportUntil(now)
	return ok && !now.Reached(until)
}

// Holds reports whether the process holds the slot.
func (o *Owner) Holds(slot int) bool { return o.slots[slot].held }

// HeldUntil returns when the held slots must be released unless peers confirm
// the view again. It returns false if no slot is held, the view isn't supported,
// or a higher-ranked candidate isn't known to hold no slot.
func (o *Owner) HeldUntil(now membership.ClockReading) (membership.ClockReading, bool) {
	until, ok := o.supportUntil(now)
	if !ok {
		return membership.ClockReading{}, false
	}
	holdsAny := false
	for i := range o.slots {
		s := &o.slots[i]
		if !s.held {
			continue
		}
		holdsAny = true
		if end, known := o.noHigherHolderUntil(s, now); known {
			until = until.Earlier(end)
		} else {
			return membership.ClockReading{}, false
		}
	}
	if !holdsAny {
		return membership.ClockReading{}, false
	}
	return until, true
}

// Available returns the part of a held slot's share that no other VM may still
// use.
func (o *Owner) Available(now membership.ClockReading, slot int, customer string, share Share) Share {
	s := &o.slots[slot]
	if !s.held {
		return Share{}
	}
	if now.Mono >= s.loansEndAt {
		return share.Curve()
	}
	if s.withheld == nil {
		return Share{}
	}
	return share.Minus(s.withheld[customer])
}

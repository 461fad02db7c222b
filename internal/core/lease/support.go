package lease

import (
	"math"
	"slices"
	"strings"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// farFuture is later than any time that a clock reaches.
var farFuture = membership.ClockReading{Mono: math.MaxInt64, Wall: math.MaxInt64}

// supportUntil returns when the quorum's support of the view ends: the later of
// the fleet's and of the zone's.
func (o *Owner) supportUntil(now membership.ClockReading) (membership.ClockReading, bool) {
	if o.list == nil || !o.settled {
		return membership.ClockReading{}, false
	}
	fleet, fleetOK := o.supportedUntil(o.fleetWitnesses, quorum(len(o.fleetWitnesses)))
	zone, zoneOK := o.supportedUntil(o.zoneWitnesses, len(o.zoneWitnesses))
	switch {
	case fleetOK && zoneOK && fleet.Mono > zone.Mono:
		return fleet, true
	case zoneOK:
		return zone, true
	default:
		return fleet, fleetOK
	}
}

// supportedUntil returns until when at least the required number of the VMs
// support the view.
func (o *Owner) supportedUntil(vms []membership.VM, required int) (membership.ClockReading, bool) {
	if required == 0 {
		return membership.ClockReading{}, false
	}
	ends := make([]membership.ClockReading, 0, maxWitnesses)
	for _, vm := range vms {
		if vm.ID == o.self.ID {
			ends = append(ends, farFuture)
			continue
		}
		e := o.peers[vm.ID]
		if e == nil {
			continue
		}
		if end, ok := e.supportUntil(o.list.Revision); ok {
			ends = append(ends, end)
		}
	}
	if len(ends) < required {
		return membership.ClockReading{}, false
	}
	slices.SortFunc(ends, func(a, b membership.ClockReading) int {
		return int(min(max(b.Mono-a.Mono, -1), 1))
	})
	until := farFuture
	for _, end := range ends[:required] {
		until = until.Earlier(end)
	}
	return until, true
}

// updateSettled decides whether the process may hold slots and support others. A
// new process doesn't know what an earlier one on its VM knew and lent. It
// settles once it has the support of a quorum besides itself and of a settled
// VM of its zone with the same list, or after NoSettledPeerWait once a quorum
// has answered in any state.
func (o *Owner) updateSettled(now membership.ClockReading) bool {
	if o.settled || o.list == nil || !o.selfListed {
		return false
	}
	uptime := now.Mono - o.startedAt.Mono
	if uptime < SettleWait {
		return false
	}
	if !o.hasSettledSupport(now) && (uptime < NoSettledPeerWait || !o.hasQuorumAnswers(now)) {
		return false
	}
	o.settled = true
	o.settledAt = now
	return true
}

func (o *Owner) hasSettledSupport(now membership.ClockReading) bool {
	if !o.hasQuorumSupport(now, o.fleetWitnesses) {
		return false
	}
	for _, set := range o.otherWitnessSets {
		if !o.hasQuorumSupport(now, set) {
			return false
		}
	}
	return slices.ContainsFunc(o.zoneVMs, func(vm membership.VM) bool {
		e := o.peers[vm.ID]
		return o.supportsNow(now, vm.ID) && e.revision == o.list.Revision
	})
}

// hasQuorumSupport reports whether a quorum of the set, not counting this
// process, supports the view.
func (o *Owner) hasQuorumSupport(now membership.ClockReading, set []membership.VM) bool {
	count := 0
	for _, vm := range set {
		if vm.ID != o.self.ID && o.supportsNow(now, vm.ID) {
			count++
		}
	}
	return count >= quorum(len(set))
}

func (o *Owner) supportsNow(now membership.ClockReading, id string) bool {
	e := o.peers[id]
	if e == nil {
		return false
	}
	end, ok := e.supportUntil(o.list.Revision)
	return ok && !now.Reached(end)
}

func (o *Owner) hasQuorumAnswers(now membership.ClockReading) bool {
	count := 0
	for _, vm := range o.fleetWitnesses {
		e := o.peers[vm.ID]
		answered := e != nil && e.answered && !now.Reached(e.answeredProbeAt.Add(AnswerTerm)) && e.revision <= o.list.Revision
		if answered || vm.ID == o.self.ID {
			count++
		}
	}
	return count >= quorum(len(o.fleetWitnesses))
}

// updateListKnown records when a quorum first knew the list.
func (o *Owner) updateListKnown(now membership.ClockReading) {
	if o.listKnown || o.list == nil {
		return
	}
	count := 0
	for _, vm := range o.fleetWitnesses {
		e := o.peers[vm.ID]
		if vm.ID == o.self.ID || (e != nil && e.revision >= o.list.Revision) {
			count++
		}
	}
	if count >= quorum(len(o.fleetWitnesses)) {
		o.listKnown, o.listKnownAt = true, now.Mono
	}
}

// olderListsExpired reports whether no process with an older list can hold a
// slot. Digests and handovers call this a settled list.
func (o *Owner) olderListsExpired(now membership.ClockReading) bool {
	return o.listKnown && now.Mono >= o.listKnownAt+o.olderListWait
}

// announced reports whether all VMs of the zone know that this process is
// settled, or have had time to stop relying on the opposite.
func (o *Owner) announced(now membership.ClockReading) bool {
	if now.Mono >= o.settledAt.Mono+DrainTerm {
		return true
	}
	for _, vm := range o.zoneVMs {
		if vm.ID == o.self.ID {
			continue
		}
		e := o.peers[vm.ID]
		// A probe sent at the very time of settling may have carried the
		// earlier digest.
		if e == nil || !e.answered || e.answeredProbeAt.Mono <= o.settledAt.Mono {
			return false
		}
	}
	return true
}

// Probes returns the peers to probe now: those whose answers this process
// relies on and, until they know that it is settled, all VMs of its zone.
func (o *Owner) Probes(now membership.ClockReading) []membership.VM {
	if o.list == nil {
		return nil
	}
	out := o.appendDue(nil, o.unheardVMs, now, announceInterval)
	if !o.settled || !o.announced(now) {
		out = o.appendDue(out, o.zoneVMs, now, announceInterval)
	}
	if !o.settled {
		for _, set := range o.otherWitnessSets {
			out = o.appendDue(out, set, now, ProbeInterval)
		}
		out = o.appendDue(out, o.fleetWitnesses, now, ProbeInterval)
	}
	return o.appendDue(out, o.probeTargets, now, ProbeInterval)
}

// appendDue appends the VMs that were not probed within the interval.
func (o *Owner) appendDue(out, vms []membership.VM, now membership.ClockReading, interval time.Duration) []membership.VM {
	for _, vm := range vms {
		last, probed := o.probedAt[vm.ID]
		if vm.ID == o.self.ID || (probed && now.Mono-last < interval) {
			continue
		}
		o.probedAt[vm.ID] = now.Mono
		out = append(out, vm)
	}
	return out
}

// findProbeTargets returns the VMs whose answers this process relies on as long
// as the list stays the same. A VM that is a candidate for no slot relies on
// none.
func (o *Owner) findProbeTargets() []membership.VM {
	if !slices.ContainsFunc(o.slots[:], func(s slot) bool { return s.eligible }) {
		return nil
	}
	out := slices.Concat(o.fleetWitnesses, o.zoneWitnesses)
	for _, vm := range o.zoneVMs {
		for i := range o.slots {
			s := &o.slots[i]
			if s.eligible && slices.Contains(s.higherRanked, vm.ID) {
				out = append(out, vm)
				break
			}
		}
	}
	slices.SortFunc(out, func(a, b membership.VM) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b membership.VM) bool { return a.ID == b.ID })
}

// probeSoon makes the next Probes include the VM.
func (o *Owner) probeSoon(id string) {
	delete(o.probedAt, id)
}

// noHigherHolderUntil returns until when all higher-ranked candidates are known
// to hold no slot.
func (o *Owner) noHigherHolderUntil(s *slot, now membership.ClockReading) (membership.ClockReading, bool) {
	until := farFuture
	for _, id := range s.higherRanked {
		e := o.peers[id]
		if e == nil {
			return membership.ClockReading{}, false
		}
		end, ok := e.noSlotUntil(o.list.Revision)
		if !ok {
			return membership.ClockReading{}, false
		}
		until = until.Earlier(end)
	}
	return until, true
}

// HoldsNoSlot reports whether the VM is known to hold no slot.
func (o *Owner) HoldsNoSlot(now membership.ClockReading, id string) bool {
	e := o.peers[id]
	if e == nil {
		return false
	}
	end, ok := e.noSlotUntil(o.list.Revision)
	return ok && !now.Reached(end)
}

// higherRankedInactive reports whether all higher-ranked candidates are known
// to hold no slot for longer than the release margin.
func (o *Owner) higherRankedInactive(s *slot, now membership.ClockReading) bool {
	until, ok := o.noHigherHolderUntil(s, now)
	return ok && !now.Add(releaseMargin(s)).Reached(until)
}

// releaseMargin returns how long before its expiry a slot is released:
// SlotReleaseMargin, or 0 without higher-ranked candidates.
func releaseMargin(s *slot) time.Duration {
	if len(s.higherRanked) == 0 {
		return 0
	}
	return SlotReleaseMargin
}

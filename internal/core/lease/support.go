package lease

import (
	"math"
	"slices"
	"strings"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

var never = membership.Reading{Mono: math.MaxInt64, Wall: math.MaxInt64}

// supportUntil returns the end of the quorum's support of the view: the later
// of the fleet's and of the zone's.
func (o *Owner) supportUntil(now membership.Reading) (membership.Reading, bool) {
	if o.list == nil || !o.settled {
		return membership.Reading{}, false
	}
	fleet, fleetOK := o.agreed(o.witnesses, quorum(len(o.witnesses)))
	zone, zoneOK := o.agreed(o.zoneWitnesses, len(o.zoneWitnesses))
	switch {
	case fleetOK && zoneOK && fleet.Mono > zone.Mono:
		return fleet, true
	case zoneOK:
		return zone, true
	default:
		return fleet, fleetOK
	}
}

// agreed returns the end of the support of at least need of the VMs.
func (o *Owner) agreed(vms []membership.VM, need int) (membership.Reading, bool) {
	if need == 0 {
		return membership.Reading{}, false
	}
	ends := make([]membership.Reading, 0, maxWitnesses)
	for _, vm := range vms {
		if vm.ID == o.self.ID {
			ends = append(ends, never)
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
	if len(ends) < need {
		return membership.Reading{}, false
	}
	slices.SortFunc(ends, func(a, b membership.Reading) int {
		return int(min(max(b.Mono-a.Mono, -1), 1))
	})
	until := never
	for _, end := range ends[:need] {
		until = until.Earlier(end)
	}
	return until, true
}

// settle decides whether the process may own slots and support others. A new
// process has forgotten what an earlier one on its VM knew and lent. It settles
// once it has heard from a quorum besides itself and from a settled zone mate
// with the same list, or after LostWait from a quorum in any state.
func (o *Owner) settle(now membership.Reading) bool {
	if o.settled || o.list == nil || !o.listed {
		return false
	}
	up := now.Mono - o.startedAt.Mono
	if up < SettleWait {
		return false
	}
	if !o.heardSettled(now) && (up < NoSettledPeerWait || !o.heardAny(now)) {
		return false
	}
	o.settled = true
	o.settledAt = now
	return true
}

func (o *Owner) heardSettled(now membership.Reading) bool {
	if !o.heardQuorum(now, o.witnesses) {
		return false
	}
	for _, set := range o.duties {
		if !o.heardQuorum(now, set) {
			return false
		}
	}
	return slices.ContainsFunc(o.zone, func(vm membership.VM) bool {
		e := o.peers[vm.ID]
		return o.supportsNow(now, vm.ID) && e.revision == o.list.Revision
	})
}

// heardQuorum reports whether a quorum besides this process supports its view.
func (o *Owner) heardQuorum(now membership.Reading, set []membership.VM) bool {
	count := 0
	for _, vm := range set {
		if vm.ID != o.self.ID && o.supportsNow(now, vm.ID) {
			count++
		}
	}
	return count >= quorum(len(set))
}

func (o *Owner) supportsNow(now membership.Reading, id string) bool {
	e := o.peers[id]
	if e == nil {
		return false
	}
	end, ok := e.supportUntil(o.list.Revision)
	return ok && !now.Reached(end)
}

func (o *Owner) heardAny(now membership.Reading) bool {
	count := 0
	for _, vm := range o.witnesses {
		e := o.peers[vm.ID]
		heard := e != nil && e.answered && !now.Reached(e.askedAt.Add(AnswerTerm)) && e.revision <= o.list.Revision
		if heard || vm.ID == o.self.ID {
			count++
		}
	}
	return count >= quorum(len(o.witnesses))
}

// learnKnown notes when a quorum came to know the list.
func (o *Owner) learnKnown(now membership.Reading) {
	if o.known || o.list == nil {
		return
	}
	count := 0
	for _, vm := range o.witnesses {
		e := o.peers[vm.ID]
		if vm.ID == o.self.ID || (e != nil && e.revision >= o.list.Revision) {
			count++
		}
	}
	if count >= quorum(len(o.witnesses)) {
		o.known, o.knownAt = true, now.Mono
	}
}

// listSettled reports whether no process with an older list can hold a slot.
func (o *Owner) listSettled(now membership.Reading) bool {
	return o.known && now.Mono >= o.knownAt+o.knownWait
}

// announced reports whether all VMs of the zone know that this process is
// settled, or have had the time to stop relying on the opposite.
func (o *Owner) announced(now membership.Reading) bool {
	if now.Mono >= o.settledAt.Mono+DrainTerm {
		return true
	}
	for _, vm := range o.zone {
		if vm.ID == o.self.ID {
			continue
		}
		e := o.peers[vm.ID]
		// A probe of the very moment of settling may have gone out before.
		if e == nil || !e.answered || e.askedAt.Mono <= o.settledAt.Mono {
			return false
		}
	}
	return true
}

// Probes returns the peers to ask now: those whose word this process relies on
// and, until they have heard of it, all of its zone.
func (o *Owner) Probes(now membership.Reading) []membership.VM {
	if o.list == nil {
		return nil
	}
	out := o.due(nil, o.strangers, now, announceInterval)
	if !o.settled || !o.announced(now) {
		out = o.due(out, o.zone, now, announceInterval)
	}
	if !o.settled {
		for _, set := range o.duties {
			out = o.due(out, set, now, ProbeInterval)
		}
		out = o.due(out, o.witnesses, now, ProbeInterval)
	}
	return o.due(out, o.relied, now, ProbeInterval)
}

// due appends the VMs that were not asked within the interval.
func (o *Owner) due(out, vms []membership.VM, now membership.Reading, interval time.Duration) []membership.VM {
	for _, vm := range vms {
		last, asked := o.probedAt[vm.ID]
		if vm.ID == o.self.ID || (asked && now.Mono-last < interval) {
			continue
		}
		o.probedAt[vm.ID] = now.Mono
		out = append(out, vm)
	}
	return out
}

// reliedOn returns the VMs whose word matters to this process as long as the
// list stays. A VM that stands by for no slot relies on nobody.
func (o *Owner) reliedOn() []membership.VM {
	if !slices.ContainsFunc(o.slots[:], func(s slot) bool { return s.eligible }) {
		return nil
	}
	out := slices.Concat(o.witnesses, o.zoneWitnesses)
	for _, vm := range o.zone {
		for i := range o.slots {
			s := &o.slots[i]
			if s.eligible && slices.Contains(s.better, vm.ID) {
				out = append(out, vm)
				break
			}
		}
	}
	slices.SortFunc(out, func(a, b membership.VM) int { return strings.Compare(a.ID, b.ID) })
	return slices.CompactFunc(out, func(a, b membership.VM) bool { return a.ID == b.ID })
}

// probeSoon makes the next Probes ask the VM at once.
func (o *Owner) probeSoon(id string) {
	delete(o.probedAt, id)
}

// outUntil returns until when all better candidates are known to be out.
func (o *Owner) outUntil(s *slot, now membership.Reading) (membership.Reading, bool) {
	until := never
	for _, id := range s.better {
		e := o.peers[id]
		if e == nil {
			return membership.Reading{}, false
		}
		end, ok := e.outUntil(o.list.Revision)
		if !ok {
			return membership.Reading{}, false
		}
		until = until.Earlier(end)
	}
	return until, true
}

// HoldsNoSlot reports whether the VM is known to hold no slot.
func (o *Owner) HoldsNoSlot(now membership.Reading, id string) bool {
	e := o.peers[id]
	if e == nil {
		return false
	}
	end, ok := e.outUntil(o.list.Revision)
	return ok && !now.Reached(end)
}

// outAt reports whether all better candidates are out for a while.
func (o *Owner) outAt(s *slot, now membership.Reading) bool {
	until, ok := o.outUntil(s, now)
	return ok && !now.Add(guardOf(s)).Reached(until)
}

// guardOf is nothing for a slot without better candidates.
func guardOf(s *slot) time.Duration {
	if len(s.better) == 0 {
		return 0
	}
	return SlotReleaseMargin
}

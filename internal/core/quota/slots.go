package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// onSlotChanges follows up on changes of slots: it publishes the new rights, assigns
// the owned parts, and hands lost slots over.
func (m *Manager) onSlotChanges(now time.Time, at membership.Reading, changes []lease.SlotChange) []Action {
	if len(changes) == 0 {
		m.publishOwnedUntil(at)
		return nil
	}
	var out []Action
	var handedOver []lease.SlotChange
	for _, c := range changes {
		out = append(out, slotAudit(now, c))
		if !c.Acquired && c.Successor != "" && c.CanHandOver {
			handedOver = append(handedOver, c)
		}
	}
	tokens := m.takeTokens(at, handedOver)
	m.assignOwnedShares(at)
	for _, c := range changes {
		m.addTokens(at, c.Tokens)
	}
	return append(out, m.handOver(at, handedOver, tokens)...)
}

// takeTokens takes the tokens out of the buckets that go with given slots. It
// returns those of one slot, by customer.
func (m *Manager) takeTokens(at membership.Reading, handedOver []lease.SlotChange) map[int]map[string]int64 {
	out := make(map[int]map[string]int64, len(handedOver))
	for _, c := range handedOver {
		tokens := make(map[string]int64)
		for _, a := range m.accounts {
			part := slotShare(at.Mono, &a.layout, a.earlierLayouts, m.params.Self.Zone, c.Slot)
			if part.IsZero() {
				continue
			}
			if moved := a.bucket.takeTokens(at, *m.ownedUntil.Load(), part.Capacity); moved > 0 {
				tokens[a.name] = moved
			}
		}
		out[c.Slot] = tokens
	}
	return out
}

func (m *Manager) addTokens(at membership.Reading, tokens map[string]int64) {
	for name, n := range tokens {
		if a := m.accounts[name]; a != nil {
			a.bucket.addTokens(at, *m.ownedUntil.Load(), n)
		}
	}
}

func slotAudit(now time.Time, c lease.SlotChange) Action {
	event := EventSlotLost
	if c.Acquired {
		event = EventSlotAcquired
	}
	return Audit{At: now, Event: event, Peer: c.Successor, Slot: c.Slot}
}

// publishOwnedUntil extends or ends the rights to the owned parts.
func (m *Manager) publishOwnedUntil(at membership.Reading) {
	until, ok := m.owner.HeldUntil(at)
	if !ok {
		until = membership.Reading{}
	}
	m.ownedUntil.Store(&until)
}

// assignOwnedShares gives each bucket its owned part. Every bucket mints with the former
// part and the former rights first, so that rights which lapsed for a while
// mint nothing for that time.
func (m *Manager) assignOwnedShares(at membership.Reading) {
	former := *m.ownedUntil.Load()
	for _, a := range m.accounts {
		a.bucket.setOwn(at, former, m.ownedShare(at, a))
	}
	m.publishOwnedUntil(at)
	m.nextGrowthAt = m.nextGrowth(at)
}

func (m *Manager) ownedShare(at membership.Reading, a *account) Share {
	var sum Share
	for slot := range lease.SlotsPerZone {
		if !m.owner.Holds(slot) {
			continue
		}
		share := slotShare(at.Mono, &a.layout, a.earlierLayouts, m.params.Self.Zone, slot)
		sum = sum.Plus(m.owner.Available(at, slot, a.name, share))
	}
	return sum
}

// nextGrowth returns when a wait ends that holds a part back, or 0.
func (m *Manager) nextGrowth(at membership.Reading) time.Duration {
	var next time.Duration
	if wait := m.owner.UntilNextIncrease(at); wait > 0 {
		next = at.Mono + wait
	}
	for _, a := range m.accounts {
		for _, g := range a.earlierLayouts {
			if g.inUseUntil > at.Mono && (next == 0 || g.inUseUntil < next) {
				next = g.inUseUntil
			}
		}
	}
	return next
}

// handOver tells the next holders of lost slots what is still lent from them.
func (m *Manager) handOver(at membership.Reading, lost []lease.SlotChange, tokens map[int]map[string]int64) []Action {
	if len(lost) == 0 {
		return nil
	}
	settled := m.owner.ListSettled(at)
	index := make(map[string]int)
	var out []Action
	excess := m.overLent(at)
	for _, c := range lost {
		i, ok := index[c.Successor]
		if !ok {
			to, known := m.vm(c.Successor)
			if !known {
				continue
			}
			i = len(out)
			index[c.Successor] = i
			out = append(out, SendHandover{To: to, Handover: lease.Handover{
				Sender: m.owner.Digest(), ToIncarnation: c.SuccessorIncarnation, ListSettled: settled,
			}})
		}
		send := out[i].(SendHandover)
		send.Handover.Slots = append(send.Handover.Slots, lease.SlotHandover{
			Slot:     c.Slot,
			Withheld: m.assignWithheld(at, c.Slot, excess),
			Tokens:   tokens[c.Slot],
		})
		out[i] = send
	}
	return out
}

// overLent returns, by customer, what is lent beyond what is still owned.
func (m *Manager) overLent(at membership.Reading) map[string]Share {
	out := make(map[string]Share)
	for name, a := range m.accounts {
		excess := m.lender.Lent(name).Minus(m.ownedShare(at, a))
		if !excess.IsZero() {
			out[name] = excess
		}
	}
	return out
}

// assignWithheld moves as much of the excess to the slot as its part covers.
func (m *Manager) assignWithheld(at membership.Reading, slot int, excess map[string]Share) map[string]Share {
	out := make(map[string]Share)
	for name, e := range excess {
		a := m.accounts[name]
		part := e.Min(slotShare(at.Mono, &a.layout, a.earlierLayouts, m.params.Self.Zone, slot))
		if part.IsZero() {
			continue
		}
		out[name] = part
		excess[name] = e.Minus(part)
	}
	return out
}

func (m *Manager) vm(id string) (membership.VM, bool) {
	for _, vm := range m.tracker.List().VMs {
		if vm.ID == id {
			return vm, true
		}
	}
	return membership.VM{}, false
}

// OnHandover takes slots over from a peer that gives them up.
func (m *Manager) OnHandover(now time.Time, h lease.Handover) []Action {
	at := m.clock(now)
	m.owner.OnHandover(at, h)
	return m.onSlotChanges(now, at, m.owner.Update(at))
}

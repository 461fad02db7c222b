package quota

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// onSlotChanges applies changes of slots: it assigns the owned shares,
// publishes their expiry and hands lost slots over.
func (m *Manager) onSlotChanges(now time.Time, at membership.ClockReading, changes []lease.SlotChange) []Action {
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

// takeTokens removes from the buckets the tokens of slots that are handed over.
// It returns them by slot and customer.
func (m *Manager) takeTokens(at membership.ClockReading, handedOver []lease.SlotChange) map[int]map[string]int64 {
	out := make(map[int]map[string]int64, len(handedOver))
	for _, c := range handedOver {
		tokens := make(map[string]int64)
		for _, a := range m.accounts {
			share := slotShare(at.Mono, &a.layout, a.earlierLayouts, m.params.Self.Zone, c.Slot)
			if share.IsZero() {
				continue
			}
			if moved := a.bucket.takeTokens(at, *m.ownedUntil.Load(), share.Capacity); moved > 0 {
				tokens[a.name] = moved
			}
		}
		out[c.Slot] = tokens
	}
	return out
}

func (m *Manager) addTokens(at membership.ClockReading, tokens map[string]int64) {
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

// publishOwnedUntil extends or ends the validity of the owned shares.
func (m *Manager) publishOwnedUntil(at membership.ClockReading) {
	until, ok := m.owner.HeldUntil(at)
	if !ok {
		until = membership.ClockReading{}
	}
	m.ownedUntil.Store(&until)
}

// assignOwnedShares gives each bucket its owned share. Every bucket first
// accrues tokens with the previous share and the previous expiry, so that owned
// shares that had expired accrue nothing for that time.
func (m *Manager) assignOwnedShares(at membership.ClockReading) {
	previous := *m.ownedUntil.Load()
	for _, a := range m.accounts {
		a.bucket.setOwn(at, previous, m.ownedShare(at, a))
	}
	m.publishOwnedUntil(at)
	m.nextGrowthAt = m.nextGrowth(at)
}

func (m *Manager) ownedShare(at membership.ClockReading, a *account) Share {
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

// nextGrowth returns the next end of a wait that holds a share back, or 0.
func (m *Manager) nextGrowth(at membership.ClockReading) time.Duration {
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

// handOver sends lost slots to their successors, with the shares still lent
// from them.
func (m *Manager) handOver(at membership.ClockReading, lost []lease.SlotChange, tokens map[int]map[string]int64) []Action {
	if len(lost) == 0 {
		return nil
	}
	settled := m.owner.OlderListsExpired(at)
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
				Sender: m.owner.Digest(), ToIncarnation: c.SuccessorIncarnation, OlderListsExpired: settled,
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

// overLent returns, by customer, the share lent beyond the share still owned.
func (m *Manager) overLent(at membership.ClockReading) map[string]Share {
	out := make(map[string]Share)
	for name, a := range m.accounts {
		excess := m.lender.Lent(name).Minus(m.ownedShare(at, a))
		if !excess.IsZero() {
			out[name] = excess
		}
	}
	return out
}

// assignWithheld assigns the excess to the slot as far as the slot's share
// covers it.
func (m *Manager) assignWithheld(at membership.ClockReading, slot int, excess map[string]Share) map[string]Share {
	out := make(map[string]Share)
	for name, e := range excess {
		a := m.accounts[name]
		withheld := e.Min(slotShare(at.Mono, &a.layout, a.earlierLayouts, m.params.Self.Zone, slot))
		if withheld.IsZero() {
			continue
		}
		out[name] = withheld
		excess[name] = e.Minus(withheld)
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

// OnHandover accepts slots from a peer that releases them.
func (m *Manager) OnHandover(now time.Time, h lease.Handover) []Action {
	at := m.clock(now)
	m.owner.OnHandover(at, h)
	return m.onSlotChanges(now, at, m.owner.Update(at))
}

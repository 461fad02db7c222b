package routing

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// member is a VM that counts in the sharing.
type member struct {
	vm         membership.VM
	hash       uint64
	unlistedAt time.Time // zero while the VM is listed
}

// fleet holds the VMs that count in the sharing: those listed, and those that
// left the list less than a hold-down ago. The control goroutine owns it.
type fleet struct {
	self     membership.VM
	holdDown time.Duration
	revision uint64
	members  map[string]*member
	// listedSince is the start of the present period in which the list has
	// contained self without interruption.
	listedSince time.Time
	listed      bool
}

func newFleet(self membership.VM, holdDown time.Duration) *fleet {
	return &fleet{self: self, holdDown: holdDown, members: make(map[string]*member)}
}

// update applies a list and reports whether the counted VMs changed. A list
// that isn't newer than the last one is ignored.
func (f *fleet) update(now time.Time, list membership.List) bool {
	if list.Revision < f.revision {
		return false
	}
	if list.Revision == f.revision && len(f.members) > 0 {
		return false
	}
	f.revision = list.Revision
	changed := f.addListed(now, list)
	f.markUnlisted(now, list)
	return changed
}

func (f *fleet) addListed(now time.Time, list membership.List) bool {
	changed := false
	wasListed := f.listed
	f.listed = false
	for _, vm := range list.VMs {
		if vm.ID == f.self.ID {
			f.listed = true
		}
		m := f.members[vm.ID]
		if m == nil {
			f.members[vm.ID] = &member{vm: vm, hash: hashOf(vm.ID)}
			changed = true
			continue
		}
		changed = changed || m.vm.Zone != vm.Zone
		m.vm = vm
		m.unlistedAt = time.Time{}
	}
	if f.listed && !wasListed {
		f.listedSince = now
	}
	return changed || f.listed != wasListed
}

func (f *fleet) markUnlisted(now time.Time, list membership.List) {
	present := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		present[vm.ID] = true
	}
	for id, m := range f.members {
		if !present[id] && m.unlistedAt.IsZero() {
			m.unlistedAt = now
		}
	}
}

// expire removes the VMs whose hold-down is over and reports whether there were
// any.
func (f *fleet) expire(now time.Time) bool {
	changed := false
	for id, m := range f.members {
		if !m.unlistedAt.IsZero() && now.Sub(m.unlistedAt) >= f.holdDown {
			delete(f.members, id)
			changed = true
		}
	}
	return changed
}

// mature reports whether self may use its shares. During the first hold-down
// after self was listed, other VMs may not count it yet. During the longest lag
// after that, they may still count a VM that left before self was listed, and
// so choose otherwise than self between sharing among all VMs and sharing by
// zone (see domains).
func (f *fleet) mature(now time.Time) bool {
	return f.listed && now.Sub(f.listedSince) >= maturationPeriod(f.holdDown)
}

// maturationPeriod returns the time for which a new VM uses no shares.
func maturationPeriod(holdDown time.Duration) time.Duration {
	return holdDown + holdDown/2
}

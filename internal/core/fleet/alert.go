package fleet

import (
	"slices"
	"time"
)

// AlertTargets returns the VMs that are sent at once what can't wait for the next tick. In a
// small fleet they are all others. In a large one a VM alerts a relay of its zone, and the
// relays each other; the other VMs learn of it with their next exchange.
func (t *Table) AlertTargets(now time.Duration) []string {
	var out []string
	if !t.isLarge() {
		for addr, m := range t.members {
			if !m.report.Leaving && !t.isSuspect(addr, now) {
				out = append(out, addr)
			}
		}
		slices.Sort(out)
		return out
	}
	own := t.relays(t.self.Zone, now)
	if !slices.Contains(own, t.self.Address) {
		if len(own) > 0 {
			out = append(out, own[t.RelayIndex()%len(own)])
		}
		return out
	}
	for _, zone := range append(t.zones(), t.self.Zone) {
		for _, addr := range t.relays(zone, now) {
			if addr != t.self.Address {
				out = append(out, addr)
			}
		}
	}
	return out
}

// PassesAlertsOn reports whether this VM sends what it was alerted of to others.
func (t *Table) PassesAlertsOn(now time.Duration) bool {
	return t.isLarge() && slices.Contains(t.relays(t.self.Zone, now), t.self.Address)
}

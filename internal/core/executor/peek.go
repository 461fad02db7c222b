package executor

import "time"

// PeekCandidates returns what Candidates would, and doesn't advance the rotation.
func (d *Directory) PeekCandidates(now time.Time, zones map[string]bool) []string {
	return d.shadow().Candidates(now, zones)
}

// PeekHelpers returns what Helpers would, and doesn't advance the rotation.
func (d *Directory) PeekHelpers(now time.Time) []string { return d.shadow().Helpers(now) }

// shadow returns a directory in the same state that shares nothing which its methods
// change.
func (d *Directory) shadow() *Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	avoided := make(map[string]time.Time, len(d.avoided))
	for addr, until := range d.avoided {
		avoided[addr] = until
	}
	return &Directory{
		self: d.self, zone: d.zone, byZone: d.byZone, helpers: d.helpers, ownZone: d.ownZone, avoided: avoided, turns: d.turns,
	}
}

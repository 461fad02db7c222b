package fleetrpc

import "time"

// PeekCandidates returns what Candidates would, and doesn't advance the rotation.
func (e *Exchanger) PeekCandidates(now time.Time, zones map[string]bool) []string {
	return e.executors.PeekCandidates(now, zones)
}

// PeekHelpers returns what Helpers would, and doesn't advance the rotation.
func (e *Exchanger) PeekHelpers(now time.Time) []string { return e.executors.PeekHelpers(now) }

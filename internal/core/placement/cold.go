package placement

import "time"

// coldGate spaces the requests of this VM to a cold upstream, so that the sum
// over all VMs stays within the upstream's limit in each second.
type coldGate struct {
	next time.Time
}

// take reports whether a request may go now, at the given rate of this VM.
func (g *coldGate) take(now time.Time, perSecond float64) bool {
	if now.Before(g.next) {
		return false
	}
	g.next = now.Add(time.Duration(float64(time.Second) / perSecond))
	return true
}

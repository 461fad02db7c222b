package placement

import "time"

// coldLimiter spaces the requests of this VM to a cold upstream, so that the sum
// over all VMs stays within the upstream's limit in each second.
type coldLimiter struct {
	limited bool
	rate    float64 // requests a second; 0 allows none
	next    time.Time
}

func (l *coldLimiter) allow(now time.Time) bool {
	return !l.limited || l.rate > 0 && !now.Before(l.next)
}

func (l *coldLimiter) recordSend(now time.Time) {
	if l.limited && l.rate > 0 {
		l.next = now.Add(time.Duration(float64(time.Second) / l.rate))
	}
}

// ColdShare divides the limit of a cold upstream, in requests a second over all
// VMs, among the VMs. rank is this VM's place in an order of all VMs that each
// upstream has of its own. Where the limit is below the number of VMs, the first
// ones send one request a second and the others none.
func ColdShare(limit float64, vms, rank int) float64 {
	whole := int(limit)
	switch {
	case vms <= 0 || whole <= 0:
		return 0
	case whole >= vms:
		return float64(whole / vms)
	case rank < whole:
		return 1
	}
	return 0
}

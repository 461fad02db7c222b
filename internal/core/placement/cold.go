package placement

import "time"

// coldLimiter spaces this VM's requests to a cold upstream, so that the sum
// over all VMs stays within the upstream's limit in each second.
type coldLimiter struct {
	limited bool
	rate    float64   // requests per second; 0 allows none
	next    time.Time // when the next request is allowed
}

func (l *coldLimiter) allow(now time.Time) bool {
	return !l.limited || l.rate > 0 && !now.Before(l.next)
}

// spacing returns the least time between two requests.
func (l *coldLimiter) spacing() time.Duration {
	if !l.limited || l.rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.rate)
}

func (l *coldLimiter) recordSend(now time.Time) {
	if l.limited && l.rate > 0 {
		l.next = now.Add(l.spacing())
	}
}

// ColdShare returns this VM's share of the limit of a cold upstream, in
// requests per second. The limit applies to all VMs together. rank is this VM's
// position in an order of the VMs that differs between upstreams. If the limit
// is below the number of VMs, the first VMs send one request per second each
// and the others none.
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

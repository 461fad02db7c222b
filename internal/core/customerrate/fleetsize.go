package customerrate

import "time"

// fleetIsLarge reports whether the settings for large fleets apply.
func (l *Limiter) fleetIsLarge() bool { return len(l.reportedAt)+1 > l.policy.LargeFleetVMs }

func (l *Limiter) startupFractionFactor() float64 {
	if l.fleetIsLarge() {
		return largeFleetStartupFractionFactor
	}
	return startupFractionFactor
}

func (l *Limiter) staleness() time.Duration {
	if l.fleetIsLarge() {
		return l.policy.LargeFleetStaleness
	}
	return l.policy.Staleness
}

func (l *Limiter) silentAfter() time.Duration {
	if l.fleetIsLarge() {
		return l.policy.LargeFleetSilentAfter
	}
	return l.policy.SilentAfter
}

// fleetSize returns the number of VMs, this one included, that divide a rate. While no
// other VM is known, it returns an assumed number.
func (l *Limiter) fleetSize(now time.Time) float64 {
	n := len(l.reportedAt) + 1
	if n > 1 {
		return float64(n)
	}
	if now.Sub(l.startedAt) < l.policy.StartupTime {
		return float64(l.policy.StartupVMs)
	}
	return float64(l.policy.IsolatedVMs)
}

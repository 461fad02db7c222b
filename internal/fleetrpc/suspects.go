package fleetrpc

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/quarantine"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
)

// SuspectTracker holds the requests under which upstreams have ended, see
// quarantine.Tracker. Times are on the clock of the reports.
type SuspectTracker interface {
	Tick(now time.Duration)
	Digest() uint64
	Suspects() []quarantine.Suspect
	Merge(now time.Duration, suspects []quarantine.Suspect)
}

// suspectsFor returns the digest of this VM's suspects, and the suspects for a VM with
// another digest.
func (e *Exchanger) suspectsFor(now time.Duration, digest uint64) (own uint64, suspects []*fleetv1.Suspect) {
	own = e.suspects.Digest()
	if own != digest {
		suspects = encodeSuspects(now, e.suspects.Suspects())
	}
	return own, suspects
}

func encodeSuspects(now time.Duration, suspects []quarantine.Suspect) []*fleetv1.Suspect {
	out := make([]*fleetv1.Suspect, 0, len(suspects))
	for i := range suspects {
		s := &suspects[i]
		m := &fleetv1.Suspect{Fingerprint: s.Fingerprint}
		for _, c := range s.Crashes {
			m.Instances = append(m.Instances, c.Instance)
			m.CrashAgesMs = append(m.CrashAgesMs, ageMs(now, c.At))
		}
		if s.RespondedAt > 0 {
			m.ResponseAgeMs = 1 + ageMs(now, s.RespondedAt)
		}
		out = append(out, m)
	}
	return out
}

func decodeSuspects(now time.Duration, suspects []*fleetv1.Suspect) []quarantine.Suspect {
	out := make([]quarantine.Suspect, 0, len(suspects))
	for _, m := range suspects {
		s := quarantine.Suspect{Fingerprint: m.Fingerprint}
		for i, instance := range m.Instances[:min(len(m.Instances), len(m.CrashAgesMs))] {
			s.Crashes = append(s.Crashes, quarantine.Crash{Instance: instance, At: timeOf(now, m.CrashAgesMs[i])})
		}
		if m.ResponseAgeMs > 0 {
			s.RespondedAt = timeOf(now, m.ResponseAgeMs-1)
		}
		out = append(out, s)
	}
	return out
}

// ageMs returns the age of a time in milliseconds.
func ageMs(now, at time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }

// timeOf returns the time of an age in milliseconds.
func timeOf(now time.Duration, ageMs uint32) time.Duration {
	return now - time.Duration(ageMs)*time.Millisecond
}

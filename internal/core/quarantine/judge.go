package quarantine

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// update recomputes what is quarantined, and the digest. The caller holds mu.
func (t *Tracker) update(now time.Duration) {
	guilty := map[uint64]time.Duration{}
	for _, s := range t.culprits() {
		period := t.policy.Period
		if s.lastCrash()-s.firstCrash() > t.policy.Period {
			period = t.policy.RepeatPeriod
		}
		if until := s.lastCrash() + period; until > now {
			guilty[s.Fingerprint] = until
		}
	}
	for fingerprint, until := range guilty {
		if _, before := t.quarantined[fingerprint]; !before {
			t.onChange(Change{
				Fingerprint: fingerprint, Quarantined: true,
				Crashes: len(t.suspects[fingerprint].Crashes), Remaining: until - now,
			})
		}
	}
	for fingerprint := range t.quarantined {
		if _, still := guilty[fingerprint]; !still {
			t.onChange(Change{Fingerprint: fingerprint})
		}
	}
	t.quarantined = guilty
	t.digest = t.hash()
	t.nextExpiry = t.firstExpiry()
}

// firstExpiry returns when the first quarantine ends or the first suspect or crash
// expires.
func (t *Tracker) firstExpiry() time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, until := range t.quarantined {
		first = min(first, until)
	}
	for _, s := range t.suspects {
		oldest := s.RespondedAt
		if len(s.Crashes) > 0 {
			oldest = s.firstCrash()
		}
		first = min(first, oldest+t.policy.Retention+1)
	}
	return first
}

const (
	// burstSpan is the time within which the crashes under one request happen, at
	// instances of different shards.
	burstSpan = 500 * time.Millisecond
	// burstMargin is the time before and after a burst in which other crashes count as
	// part of it.
	burstMargin = time.Second
	// minBurstFraction is the fraction of the instances that end in a burst which a
	// request must explain. With fewer, the instances have another reason to end.
	minBurstFraction = 0.8
)

// culprits returns the suspects under which at least Threshold instances have ended that
// the other culprits don't explain. An instance that ends takes all requests with it that
// it runs, of which one is to blame: that under which the most instances have ended.
// Suspects with the same instances can't be told apart.
func (t *Tracker) culprits() []*Suspect {
	var out []*Suspect
	explained := map[uint64]bool{}
	for _, s := range t.byCrashes() {
		unexplained := 0
		for _, c := range s.Crashes {
			if !explained[c.Instance] {
				unexplained++
			}
		}
		alike := len(out) > 0 && sameInstances(out[len(out)-1].Crashes, s.Crashes)
		if unexplained < t.policy.Threshold && !alike || !t.explainsBurst(s) {
			continue
		}
		for _, c := range s.Crashes {
			explained[c.Instance] = true
		}
		out = append(out, s)
	}
	return out
}

// byCrashes returns the suspects that reach the threshold, those with the most crashes
// first.
func (t *Tracker) byCrashes() []*Suspect {
	out := make([]*Suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		if len(s.Crashes) >= t.policy.Threshold {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// explainsBurst returns false for a suspect whose crashes are part of a larger burst, as
// when all instances lose power. One that has crashed instances at several times
// explains them.
func (t *Tracker) explainsBurst(s *Suspect) bool {
	first, last := s.firstCrash(), s.lastCrash()
	if last-first > burstSpan {
		return true
	}
	ended := map[uint64]bool{}
	for _, other := range t.suspects {
		for _, c := range other.Crashes {
			if c.At >= first-burstMargin && c.At <= last+burstMargin {
				ended[c.Instance] = true
			}
		}
	}
	return float64(len(s.Crashes)) >= minBurstFraction*float64(len(ended))
}

func (t *Tracker) hash() uint64 {
	var sum uint64 // doesn't depend on the order of the map
	for _, s := range t.suspects {
		b := binary.LittleEndian.AppendUint64(nil, s.Fingerprint)
		for _, c := range s.Crashes {
			b = binary.LittleEndian.AppendUint64(b, c.Instance)
		}
		if s.RespondedAt > 0 {
			b = append(b, 1)
		}
		sum += xxhash.Sum64(b)
	}
	return sum
}

func compareInstance(c Crash, instance uint64) int { return cmp.Compare(c.Instance, instance) }

func compareFingerprint(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }

// newest returns the n newest crashes, sorted by instance.
func newest(crashes []Crash, n int) []Crash {
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(b.At, a.At) })
	crashes = crashes[:n]
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(a.Instance, b.Instance) })
	return crashes
}

// Package audit records the state changes of a daemon and their causes: accepted
// and rejected configurations, drains, ramps, leases and duties. `ryecourse serve`
// uses it.
//
// A ramp is the warm-up of an upstream. A lease is a share of a limit that a daemon
// holds or has borrowed for a time. Duties are explained in package membership.
//
// The trail is bounded in memory and also logged as JSON lines. No entry contains
// an API key. A Trail is safe for concurrent use.
package audit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Capacity is the number of entries kept in memory, half of them for frequent
// ones.
const Capacity = 4096

// Entry is one change.
type Entry struct {
	// Seq grows by one with each entry of this process.
	Seq uint64 `json:"seq"`
	// Time is the wall-clock time of the change.
	Time time.Time `json:"time"`
	// Kind is the class of the change, a stable name such as "config_accepted".
	Kind string `json:"kind"`
	// Subject names what changed.
	Subject string `json:"subject"`
	// Cause is the reason for the change.
	Cause string `json:"cause"`
	// Publisher names who published a configuration, where known.
	Publisher string `json:"publisher,omitempty"`
	// Version is the version of the configuration or the revision of the VM list;
	// 0 if the entry has none.
	Version uint64 `json:"version,omitempty"`
	// Details lists the parts of the change.
	Details []string `json:"details,omitempty"`
}

// Trail is a bounded list of entries. Frequent entries are stored separately, so
// that short-lived leases don't evict the others.
type Trail struct {
	log zerolog.Logger

	mu                sync.Mutex
	seq               uint64
	regular, frequent ring
}

// ring holds the newest Capacity/2 entries added to it.
type ring struct {
	entries []Entry
	next    int
}

func (r *ring) add(e Entry) {
	if len(r.entries) < Capacity/2 {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % len(r.entries)
}

// New returns a trail that also writes to log.
func New(log zerolog.Logger) *Trail {
	return &Trail{log: log.With().Str("stream", "audit").Logger()}
}

// Add records an entry. Seq is set by the trail.
func (t *Trail) Add(e Entry) { t.add(e, &t.regular) }

// AddFrequent records an entry of a frequent class, such as leases.
func (t *Trail) AddFrequent(e Entry) { t.add(e, &t.frequent) }

func (t *Trail) add(e Entry, r *ring) {
	t.mu.Lock()
	t.seq++
	e.Seq = t.seq
	r.add(e)
	t.mu.Unlock()
	t.log.Info().Uint64("seq", e.Seq).Str("kind", e.Kind).Str("subject", e.Subject).
		Str("cause", e.Cause).Str("publisher", e.Publisher).Uint64("version", e.Version).
		Strs("details", e.Details).Msg("audit")
}

// Since returns the retained entries with a sequence number above seq, in order.
func (t *Trail) Since(seq uint64) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Entry{}
	for _, r := range []*ring{&t.regular, &t.frequent} {
		for _, e := range r.entries {
			if e.Seq > seq {
				out = append(out, e)
			}
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

// Package audit keeps the trail of what a daemon changed and why: accepted and
// rejected configurations, drains, ramps, leases and duties.
//
// The trail is bounded in memory and also written as JSON lines. No entry ever
// carries a key. A Trail is safe for concurrent use.
package audit

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Capacity is the number of entries kept in memory.
const Capacity = 4096

// Entry is one change.
type Entry struct {
	// Seq grows by one with each entry of this process.
	Seq uint64 `json:"seq"`
	// Time is the wall-clock time of the change.
	Time time.Time `json:"time"`
	// Kind is the stable class of the change, such as "config_accepted".
	Kind string `json:"kind"`
	// Subject names what changed.
	Subject string `json:"subject"`
	// Cause says why it changed.
	Cause string `json:"cause"`
	// Publisher names who published a configuration, where known.
	Publisher string `json:"publisher,omitempty"`
	// Version is the configuration's version, where there is one.
	Version uint64 `json:"version,omitempty"`
	// Details lists the parts of the change.
	Details []string `json:"details,omitempty"`
}

// Trail is a bounded list of entries.
type Trail struct {
	log zerolog.Logger

	mu   sync.Mutex
	seq  uint64
	ring []Entry
}

// New returns a trail that also writes to log.
func New(log zerolog.Logger) *Trail {
	return &Trail{log: log.With().Str("stream", "audit").Logger()}
}

// Add records an entry. Seq is set by the trail.
func (t *Trail) Add(e Entry) {
	t.mu.Lock()
	t.seq++
	e.Seq = t.seq
	if len(t.ring) < Capacity {
		t.ring = append(t.ring, e)
	} else {
		t.ring[(e.Seq-1)%Capacity] = e
	}
	t.mu.Unlock()
	t.log.Info().Uint64("seq", e.Seq).Str("kind", e.Kind).Str("subject", e.Subject).
		Str("cause", e.Cause).Str("publisher", e.Publisher).Uint64("version", e.Version).
		Strs("details", e.Details).Msg("audit")
}

// Since returns the kept entries with a sequence number above seq, in order.
func (t *Trail) Since(seq uint64) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Entry{}
	first := t.seq - uint64(len(t.ring)) + 1
	for s := max(first, seq+1); s <= t.seq; s++ {
		out = append(out, t.ring[(s-1)%Capacity])
	}
	return out
}

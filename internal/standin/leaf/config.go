// Package leaf stands in for upstreams in tests, demonstrations and the bench.
// It speaks docs/UPSTREAM.md. One process runs many leaves; each can be
// crashed, restarted, frozen, drained and turned cold on its own. A leaf keeps
// a log of what it received, so that a checker needs no trust in the tier.
package leaf

import "time"

// Snapshot names an index version and the number of shards of its map.
type Snapshot struct {
	ID     string `json:"id"`
	Shards int    `json:"shards"`
}

// Policy is how a leaf behaves. It can be changed while the leaf runs.
type Policy struct {
	// Slots is the number of requests that run at a time.
	Slots int `json:"slots"`
	// Queue is the number of requests that wait for a slot. Beyond it the leaf
	// sheds.
	Queue int `json:"queue"`
	// Connections is the limit of open connections. Zero means no limit.
	Connections int `json:"connections"`
	// ConnectCostMS is the time in milliseconds that each new connection takes,
	// one after the other.
	ConnectCostMS float64 `json:"connect_cost_ms"`
	// ServiceMS is the least time of a request, in milliseconds.
	ServiceMS float64 `json:"service_ms"`
	// JitterMS is the mean of the exponential time added to ServiceMS.
	JitterMS float64 `json:"jitter_ms"`
	// StragglerFraction of the requests take StragglerFactor times as long.
	StragglerFraction float64 `json:"straggler_fraction"`
	StragglerFactor   float64 `json:"straggler_factor"`
	// ColdMS and ColdRequests must both have passed before a cold leaf is warm.
	ColdMS       float64 `json:"cold_ms"`
	ColdRequests int     `json:"cold_requests"`
	// ColdPermits is the number of running requests that a cold leaf bears. One
	// more is an overrun: the leaf starts its warm-up again and is
	// CollapseFactor times slower for CollapseMS.
	ColdPermits    int     `json:"cold_permits"`
	CollapseFactor float64 `json:"collapse_factor"`
	CollapseMS     float64 `json:"collapse_ms"`
	// StartCold makes each start a cold one.
	StartCold bool `json:"start_cold"`
	// HideCold keeps the leaf from telling that it is cold.
	HideCold bool `json:"silent_cold"`
	// ReportLagMS delays what /health and /load tell, in milliseconds.
	ReportLagMS int64 `json:"hint_lag_ms"`
	// ReportIdle makes /health, /load and X-Load always tell an idle, warm leaf.
	ReportIdle bool `json:"hint_idle"`
	// MaxSnapshots is the number of snapshots that are held at a time.
	MaxSnapshots int `json:"hold"`
	// IdleTimeoutMS closes idle connections. Zero means never.
	IdleTimeoutMS float64 `json:"idle_timeout_ms"`
	// AnswerBytes is the least size of an answer's body.
	AnswerBytes int `json:"answer_bytes"`
	// MismatchedFraction of the answers carry the echoes of another attempt.
	MismatchedFraction float64 `json:"crossed_fraction"`
	// TruncatedFraction of the answers end before their Content-Length.
	TruncatedFraction float64 `json:"truncated_fraction"`
	// DuplicatedFraction of the answers are sent twice.
	DuplicatedFraction float64 `json:"duplicated_fraction"`
}

// Config is one leaf.
type Config struct {
	// ID is the upstream's ID in the operators' files.
	ID string
	// Address is the host:port to listen on.
	Address string
	Zone    string
	Service string
	// Shard is the shard number that the leaf holds.
	Shard int
	// Snapshots are held at the start, newest first. Empty means that the
	// service has none.
	Snapshots []Snapshot
	Policy    Policy
	// Seed fixes the leaf's random choices.
	Seed uint64
	// AttemptLogLimit is the number of records that the truth log keeps.
	AttemptLogLimit int
	// Secrets are texts that no request may carry.
	Secrets []string
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

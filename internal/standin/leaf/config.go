// Package leaf implements stand-in upstreams for tests, demonstrations and
// benchmarks of `ryecourse serve`, with the protocol of docs/UPSTREAM.md. The
// standin command uses it; it is not part of the product.
//
// A leaf is one stand-in upstream, which serves one shard of one service. One
// process runs many leaves; each can be crashed, restarted, frozen, drained and
// made cold separately. A leaf logs the attempts that it received, so that a
// checker doesn't depend on what the query tier reports.
//
// An incarnation is a leaf between a start and a crash; on the wire its ID is the
// instance. A cold leaf is in its warm-up, in which it can run only a few requests
// at a time. A frozen leaf keeps its connections but doesn't respond.
package leaf

import "time"

// Snapshot is an index version and its number of shards.
type Snapshot struct {
	ID     string `json:"id"`
	Shards int    `json:"shards"`
}

// Policy sets a leaf's behavior. It can be changed while the leaf runs.
type Policy struct {
	// Slots is the maximum number of requests that run at a time.
	Slots int `json:"slots"`
	// Queue is the maximum number of requests that wait for a slot. The leaf
	// sheds further requests.
	Queue int `json:"queue"`
	// Connections is the maximum number of open connections. Zero means no limit.
	Connections int `json:"connections"`
	// ConnectCostMS is the time that it takes to accept a connection, in
	// milliseconds. Connections are accepted one after the other.
	ConnectCostMS float64 `json:"connect_cost_ms"`
	// ServiceMS is the minimum duration of a request, in milliseconds.
	ServiceMS float64 `json:"service_ms"`
	// JitterMS is the mean of the exponentially distributed time added to
	// ServiceMS.
	JitterMS float64 `json:"jitter_ms"`
	// StragglerFraction of the requests take StragglerFactor times as long.
	StragglerFraction float64 `json:"straggler_fraction"`
	StragglerFactor   float64 `json:"straggler_factor"`
	// ColdMS must have passed and ColdRequests have started before a cold leaf is
	// warm.
	ColdMS       float64 `json:"cold_ms"`
	ColdRequests int     `json:"cold_requests"`
	// ColdPermits is the maximum number of requests that a cold leaf can run at a
	// time. One more is an overrun: the leaf restarts its warm-up and is
	// CollapseFactor times slower for CollapseMS.
	ColdPermits    int     `json:"cold_permits"`
	CollapseFactor float64 `json:"collapse_factor"`
	CollapseMS     float64 `json:"collapse_ms"`
	// StartCold makes the leaf cold at each start.
	StartCold bool `json:"start_cold"`
	// HideCold keeps the leaf from reporting that it is cold.
	HideCold bool `json:"silent_cold"`
	// ReportLagMS is the delay of the state that /health and /load report, in
	// milliseconds.
	ReportLagMS int64 `json:"hint_lag_ms"`
	// ReportIdle makes /health, /load and X-Load always report an idle, warm leaf.
	ReportIdle bool `json:"hint_idle"`
	// MaxSnapshots is the maximum number of snapshots held at a time.
	MaxSnapshots int `json:"hold"`
	// IdleTimeoutMS is the time after which idle connections are closed, in
	// milliseconds. Zero means never.
	IdleTimeoutMS float64 `json:"idle_timeout_ms"`
	// AnswerBytes is the minimum size of a response body, in bytes.
	AnswerBytes int `json:"answer_bytes"`
	// MismatchedFraction of the responses have the attempt ID of another attempt.
	MismatchedFraction float64 `json:"crossed_fraction"`
	// TruncatedFraction of the responses end before their Content-Length.
	TruncatedFraction float64 `json:"truncated_fraction"`
	// DuplicatedFraction of the responses are sent twice.
	DuplicatedFraction float64 `json:"duplicated_fraction"`
}

// Config describes one leaf.
type Config struct {
	// ID is the upstream's ID in the configuration files.
	ID string
	// Address is the host:port to listen on.
	Address string
	Zone    string
	Service string
	// Shard is the number of the shard that the leaf holds.
	Shard int
	// Snapshots are held at the start, newest first. Empty means that the
	// service has none.
	Snapshots []Snapshot
	Policy    Policy
	// Seed is the seed of the leaf's random numbers.
	Seed uint64
	// AttemptLogLimit is the maximum number of records in the attempt log.
	AttemptLogLimit int
	// Secrets are strings that no request may contain.
	Secrets []string
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// Package scatter runs one query over the shards of a service. `ryecourse serve`
// uses it; `ryecourse gateway` doesn't.
//
// Query is a state machine without I/O, goroutines or clock reads. Its owner,
// the goroutine that serves the caller, passes it results and timer events and
// executes the actions that it returns.
//
// Terms:
//   - A snapshot is an index snapshot, a state of the service's index. All parts
//     of an answer must come from the same one if Spec.OneSnapshot is set.
//   - A discovery attempt requests no particular snapshot: the replica answers
//     from any that it holds.
//   - The current snapshot is the one that further attempts request. The query
//     settles on it once; later only a restart changes it.
//   - A replica lacks a snapshot that it doesn't hold. A shard is unavailable for
//     a snapshot once it is given up for it.
//
// In the code, k is a shard's number, and i and j are indexes of snapshots or
// attempts in their slices.
package scatter

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// Target is a replica that a Picker has reserved for one attempt.
type Target struct {
	// Upstream is the catalog's ID.
	Upstream string
	// Address is host:port.
	Address string
	// Trial marks a trial request, whose answer the Picker needs. The attempt
	// isn't canceled when another one wins; its owner ends it at its deadline.
	Trial bool
}

// Picker reserves replicas. routing.Router is the product's Picker.
type Picker interface {
	// Pick reserves a replica of the shard that isn't in tried. It returns
	// false when none can take a request now. It doesn't retain tried.
	Pick(now time.Time, service string, shard int, tried []string) (Target, bool)
	// Done ends a reservation and reports how its attempt ended.
	Done(now time.Time, service string, shard int, t Target, r Report)
}

// Report describes the end of an attempt to the Picker.
type Report struct {
	// Outcome classifies the end of the attempt.
	Outcome Outcome
	// Latency is the time from the reservation to the end.
	Latency time.Duration
	// Instance is the upstream's incarnation, if it sent one.
	Instance string
	// Cold reports whether the upstream announced itself as cold.
	Cold bool
	// Load is the upstream's running requests divided by its slots; negative if
	// unknown.
	Load float64
	// RetryAfter is the retry delay that the upstream sent when it shed the
	// request.
	RetryAfter time.Duration
}

// Outcome classifies the end of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeAnswered is a complete answer that matches its attempt.
	OutcomeAnswered Outcome = iota
	// OutcomeSnapshotMissing is an upstream's answer that it doesn't hold the
	// snapshot.
	OutcomeSnapshotMissing
	// OutcomeShed is a rejection by an upstream at its limit.
	OutcomeShed
	// OutcomeDraining is a rejection by an upstream that is draining.
	OutcomeDraining
	// OutcomeMismatch is an answer that belongs to another attempt or is
	// truncated.
	OutcomeMismatch
	// OutcomeConnectFailed is a connection that could not be opened.
	OutcomeConnectFailed
	// OutcomeConnectionLost is a connection that failed during the request.
	OutcomeConnectionLost
	// OutcomeFailed is any other error response of the upstream.
	OutcomeFailed
	// OutcomeCanceled is an attempt that its owner canceled.
	OutcomeCanceled
)

// Attempt is one request to one replica.
type Attempt struct {
	// ID is unique within the query.
	ID int
	// Shard is the shard number.
	Shard int
	// Snapshot is the ID of the snapshot to answer from. Empty means any.
	Snapshot string
	// Target is the replica, reserved until the attempt ends.
	Target Target
	// PickedAt is not later than the reservation of Target.
	PickedAt time.Time
	// Deadline ends the attempt.
	Deadline time.Time
	// Hedge reports whether the attempt duplicates a slow one that is still
	// running.
	Hedge bool
}

// SnapshotInfo names an index snapshot and the size of its shard map.
type SnapshotInfo struct {
	ID     string
	Shards int
}

// Result is the end of an attempt as reported by the code that executed it.
type Result struct {
	Attempt int
	Report  Report
	// Verdict says whether the replica may have run the attempt.
	Verdict verdict.Verdict
	// Snapshot is the snapshot that the answer was computed from.
	Snapshot SnapshotInfo
	// Held lists the snapshots that the replica holds if it lacks the requested
	// one.
	Held []SnapshotInfo
	// Body is the upstream's JSON. The query retains it.
	Body []byte
}

// Action is a step that the owner of a query executes: a *Send, a *Cancel or a
// *Finish. Actions point into buffers of their Query and stay valid until its
// next call.
type Action interface{ action() }

// Send starts an attempt.
type Send struct{ Attempt Attempt }

// Cancel cancels an attempt. Its end is still reported by a Result.
type Cancel struct{ Attempt int }

// Finish ends the query and is its last action. Exactly one of Answer and
// Refusal is set. Attempts that are still running have been canceled by earlier
// actions. The Answer is a buffer of the Query and stays valid until Close or
// Reset.
type Finish struct {
	Answer  *Answer
	Refusal *verdict.Refusal
}

func (*Send) action()   {}
func (*Cancel) action() {}
func (*Finish) action() {}

// Answer is a complete or partial answer from one snapshot.
type Answer struct {
	Snapshot SnapshotInfo
	// Parts holds one body for each shard that answered, in shard order.
	Parts []Part
	// Missing lists the shards without an answer, in order.
	Missing []int
	// Attempts and Hedges count upstream requests. Query.Stats has the other
	// counts.
	Attempts, Hedges int
}

// Coverage returns the fraction of the snapshot's shards that answered, in (0,
// 1]. For a single-shard query it counts that shard alone.
func (a *Answer) Coverage() float64 {
	return float64(len(a.Parts)) / float64(len(a.Parts)+len(a.Missing))
}

// Part is one shard's answer.
type Part struct {
	Shard int
	Body  []byte
}

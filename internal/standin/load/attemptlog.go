package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

// controlTimeout bounds one call to a control listener.
const controlTimeout = 20 * time.Second

// receivedAttempt is an attempt record with the upstream's ID and zone.
type receivedAttempt struct {
	leaf.AttemptRecord
	upstreamID string
	zone       string
}

// attemptLogs holds the attempts that all upstreams received, and their counters.
type attemptLogs struct {
	byQuery  map[uint64][]receivedAttempt
	statuses []leaf.Status
	dropped  uint64
}

// fetchLogs reads the attempt logs of all upstreams from the control listeners.
func fetchLogs(controls []string) (*attemptLogs, error) {
	t := &attemptLogs{byQuery: make(map[uint64][]receivedAttempt)}
	for _, control := range controls {
		var statuses []leaf.Status
		if err := fetch("http://"+control+"/control/leaves", &statuses); err != nil {
			return nil, err
		}
		t.statuses = append(t.statuses, statuses...)
		for _, s := range statuses {
			var page leaf.AttemptLog
			if err := fetch("http://"+control+"/control/truth?leaf="+s.ID, &page); err != nil {
				return nil, err
			}
			t.add(page)
		}
	}
	return t, nil
}

func (t *attemptLogs) add(page leaf.AttemptLog) {
	t.dropped += page.Dropped
	for _, r := range page.Records {
		t.byQuery[r.QueryDigest] = append(t.byQuery[r.QueryDigest], receivedAttempt{AttemptRecord: r, upstreamID: page.Leaf, zone: page.Zone})
	}
}

func fetch(url string, into any) error {
	status, body, err := fasthttp.GetTimeout(nil, url, controlTimeout)
	if err != nil {
		return &ControlError{URL: url, Err: err}
	}
	if status != fasthttp.StatusOK {
		return &ControlError{URL: url, Err: fmt.Errorf("status %d: %.200s", status, body)}
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &ControlError{URL: url, Err: err}
	}
	return nil
}

// ControlError reports a failed or malformed response of a control listener.
type ControlError struct {
	URL string
	Err error
}

// Error implements error.
func (e *ControlError) Error() string { return e.URL + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ControlError) Unwrap() error { return e.Err }

// runsByShard returns how many attempts of a query started, by shard.
func (t *attemptLogs) runsByShard(digest uint64) map[int]int {
	out := make(map[int]int)
	for _, r := range t.byQuery[digest] {
		if r.Started {
			out[r.Shard]++
		}
	}
	return out
}

// answered reports whether an upstream answered the query's shard from the
// snapshot.
func (t *attemptLogs) answered(digest uint64, shard int, snapshot string) bool {
	for _, r := range t.byQuery[digest] {
		if r.Shard == shard && r.Snapshot == snapshot && r.Outcome == leaf.OutcomeAnswered {
			return true
		}
	}
	return false
}

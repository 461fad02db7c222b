package scatter

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

// roundRobin is a Picker that returns the replicas of a shard in turn, except
// those in tried.
type roundRobin struct {
	layout []catalog.Shard
	next   int
	full   map[int]bool // by shard
}

func (p *roundRobin) Pick(_ time.Time, _ string, k int, tried []string) (Target, bool) {
	replicas := p.layout[k].Replicas
	if p.full[k] {
		return Target{}, false
	}
	for range replicas {
		p.next++
		u := &replicas[p.next%len(replicas)]
		if !contains(tried, u.ID) {
			return Target{Upstream: u.ID, Address: u.Address}, true
		}
	}
	return Target{}, false
}

func (p *roundRobin) Done(time.Time, string, int, Target, Report) {}

func layoutOf(shards, replicas int) []catalog.Shard {
	layout := make([]catalog.Shard, shards)
	for k := range layout {
		for r := range replicas {
			layout[k].Replicas = append(layout[k].Replicas, catalog.Upstream{ID: fmt.Sprintf("u%d-%d", k, r)})
		}
	}
	return layout
}

// BenchmarkQuery runs one query of 130 shards per iteration on reused buffers.
func BenchmarkQuery(b *testing.B) {
	const shards = 130
	layout := layoutOf(shards, 3)
	picker := &roundRobin{layout: layout}
	shared := Shared{Picker: picker, Budgets: NewBudgets(), Latency: NewLatency(shards), Policy: DefaultPolicy()}
	spec := Spec{Service: "s", Layout: layout, Deadline: epoch.Add(time.Second), Idempotent: true, OneSnapshot: true, MinCoverage: 1}
	q := New(spec, shared)
	body := []byte("{}")
	ids := make([]int, 0, shards)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		spec.Deadline = now.Add(time.Second)
		q.Reset(spec)
		ids = ids[:0]
		for _, a := range q.Start(now) {
			ids = append(ids, a.(*Send).Attempt.ID)
		}
		for _, id := range ids {
			q.OnResult(now, Result{Attempt: id, Verdict: verdict.Ran, Snapshot: SnapshotInfo{ID: "a", Shards: shards}, Body: body})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/shards, "ns/attempt")
}

// TestQueriesShareConcurrently runs queries on several goroutines that share
// budgets, latencies and the recent snapshot. It relies on the race detector.
func TestQueriesShareConcurrently(t *testing.T) {
	layout := layoutOf(4, 2)
	budgets, latency, recent := NewBudgets(), NewLatency(4), &RecentSnapshot{}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			shared := Shared{Picker: &roundRobin{layout: layout}, Budgets: budgets, Latency: latency, Recent: recent, Policy: DefaultPolicy()}
			q := New(Spec{}, shared)
			for range 500 {
				q.Reset(Spec{Layout: layout, Deadline: epoch.Add(time.Second), Idempotent: true, OneSnapshot: true, MinCoverage: 1})
				answered := q.firstID
				q.Start(epoch)
				for q.Pending() > 0 {
					q.OnResult(epoch.Add(time.Millisecond), Result{Attempt: answered, Snapshot: SnapshotInfo{ID: "a", Shards: 4}, Report: Report{Latency: time.Millisecond}})
					answered++
				}
				if q.finish.Answer == nil {
					t.Errorf("refused: %v", q.finish.Refusal)
				}
			}
		})
	}
	wg.Wait()
}

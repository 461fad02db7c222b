package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/simclock"
)

const (
	deadline = time.Second
	// warmUp is the time at the start of a run that isn't measured.
	warmUp = 2 * time.Second
	// In scenario frozen, replicas freeze at freezeAt, and only queries that start
	// later than freezeSettle after that are measured.
	freezeAt     = 10 * time.Second
	freezeSettle = 2 * time.Second
	// Replicas switch to the new snapshot at random times within rolloutTime after
	// rolloutStart. overlapTime is how long they keep the old one.
	rolloutStart = 5 * time.Second
	rolloutTime  = 20 * time.Second
	overlapTime  = 5 * time.Second
)

var (
	epoch = time.Unix(1_700_000_000, 0)
)

// model is the state of one run.
type model struct {
	*simclock.Clock
	rng         *rand.Rand
	scenario    scenario
	policy      policy
	config      config
	oldSnapshot scatter.SnapshotInfo
	newSnapshot scatter.SnapshotInfo
	end         time.Time
	layout      []catalog.Shard
	upstreams   map[string]*upstream
	shared      scatter.Shared
	result      result
}

// query is one running query.
type query struct {
	*scatter.Query
	startedAt time.Time
	timerAt   time.Time
	calls     map[int]*call
}

func run(seed uint64, s scenario, p policy, c config) *result {
	m := &model{
		Clock:       simclock.New(epoch),
		rng:         rand.New(rand.NewPCG(seed, 0)),
		scenario:    s,
		policy:      p,
		config:      c,
		oldSnapshot: scatter.SnapshotInfo{ID: "a", Shards: c.shards},
		newSnapshot: scatter.SnapshotInfo{ID: "b", Shards: c.shards},
		end:         epoch.Add(c.duration),
		upstreams:   make(map[string]*upstream),
	}
	m.setUp()
	m.scheduleQuery()
	if s == frozen {
		m.After(freezeAt, m.freeze)
	}
	if s >= overlap {
		m.scheduleRollout()
	}
	m.Run(nil)
	return &m.result
}

func (m *model) setUp() {
	m.layout = make([]catalog.Shard, m.config.shards)
	for k := range m.layout {
		for r := range replicasPerShard {
			id := fmt.Sprintf("leaf-%d-%d", k, r)
			m.layout[k].Replicas = append(m.layout[k].Replicas, catalog.Upstream{ID: id})
			m.upstreams[id] = &upstream{id: id, snapshots: []scatter.SnapshotInfo{m.oldSnapshot}}
		}
	}
	m.shared = scatter.Shared{
		Picker:  m.policy.picker(m.rng, m.layout),
		Budgets: scatter.NewBudgets(),
		Latency: scatter.NewLatency(m.config.shards),
		Recent:  &scatter.RecentSnapshot{},
		Policy:  scatter.DefaultPolicy(),
	}
	if m.policy.alwaysDiscover {
		m.shared.Policy.DiscoveryInterval = 0
	}
	if !m.policy.hedge {
		m.shared.Policy.MaxHedgesPerShard = 0
	}
}

func (m *model) freeze() {
	for k := range m.layout {
		m.upstreams[m.layout[k].Replicas[0].ID].frozen = true
	}
}

// scheduleRollout schedules the switch of each replica to the new snapshot.
func (m *model) scheduleRollout() {
	for k := range m.layout {
		for _, u := range m.layout[k].Replicas {
			target := m.upstreams[u.ID]
			at := rolloutStart + time.Duration(m.rng.Float64()*float64(rolloutTime))
			if m.scenario == exchange {
				m.After(at, func() { target.snapshots = []scatter.SnapshotInfo{m.newSnapshot} })
				continue
			}
			m.After(at, func() { target.snapshots = []scatter.SnapshotInfo{m.newSnapshot, m.oldSnapshot} })
			retention := overlapTime
			if m.scenario == longOverlap {
				retention = rolloutTime
			}
			m.After(at+retention, func() { target.snapshots = []scatter.SnapshotInfo{m.newSnapshot} })
		}
	}
}

func (m *model) scheduleQuery() {
	m.After(time.Duration(m.rng.ExpFloat64()/m.config.rate*float64(time.Second)), func() {
		if m.Now().After(m.end) {
			return
		}
		m.startQuery()
		m.scheduleQuery()
	})
}

func (m *model) startQuery() {
	spec := scatter.Spec{
		Service:     "model",
		Layout:      m.layout,
		Deadline:    m.Now().Add(deadline),
		Idempotent:  true,
		OneSnapshot: true,
	}
	q := &query{Query: scatter.New(spec, m.shared), startedAt: m.Now(), calls: make(map[int]*call)}
	m.applyActions(q, q.Start(m.Now()))
}

// applyActions performs the actions of a query and schedules its next timer.
func (m *model) applyActions(q *query, actions []scatter.Action) {
	var canceled []int
	for _, action := range actions {
		switch a := action.(type) {
		case *scatter.Send:
			m.send(q, a.Attempt)
		case *scatter.Cancel:
			canceled = append(canceled, a.Attempt)
		case *scatter.Finish:
			m.finish(q, a)
		}
	}
	for _, id := range canceled {
		m.cancelAttempt(q, id)
	}
	m.scheduleTimer(q)
}

func (m *model) scheduleTimer(q *query) {
	at, ok := q.NextTimer()
	if !ok || at.Equal(q.timerAt) {
		return
	}
	q.timerAt = at
	m.After(at.Sub(m.Now()), func() {
		if q.timerAt.Equal(at) {
			q.timerAt = time.Time{}
			m.applyActions(q, q.OnTimer(m.Now()))
		}
	})
}

func (m *model) send(q *query, a scatter.Attempt) {
	c := &call{query: q, attempt: a.ID, shard: a.Shard, snapshotID: a.Snapshot, sentAt: m.Now(), upstream: m.upstreams[a.Target.Upstream]}
	q.calls[a.ID] = c
	m.After(networkDelay, func() { m.arrive(c) })
}

// cancelAttempt cancels a call and reports it to the query as canceled.
func (m *model) cancelAttempt(q *query, id int) {
	c := q.calls[id]
	m.cancelAtUpstream(c)
	report := scatter.Report{Outcome: scatter.OutcomeCanceled, Latency: m.Now().Sub(c.sentAt), Load: -1}
	m.applyActions(q, q.OnResult(m.Now(), scatter.Result{Attempt: id, Verdict: verdict.MayHaveRun, Report: report}))
}

// answer reports a complete answer to the query.
func (m *model) answer(c *call, info scatter.SnapshotInfo) {
	if c.finished {
		return
	}
	c.finished = true
	report := scatter.Report{Outcome: scatter.OutcomeAnswered, Latency: m.Now().Sub(c.sentAt), Load: -1}
	result := scatter.Result{Attempt: c.attempt, Verdict: verdict.Ran, Snapshot: info, Report: report}
	m.applyActions(c.query, c.query.OnResult(m.Now(), result))
}

// reject reports to the query that the upstream lacks the required snapshot.
func (m *model) reject(c *call) {
	if c.finished {
		return
	}
	c.finished = true
	report := scatter.Report{Outcome: scatter.OutcomeSnapshotMissing, Latency: m.Now().Sub(c.sentAt), Load: -1}
	result := scatter.Result{Attempt: c.attempt, Held: c.upstream.snapshots, Report: report}
	m.result.rejected++
	m.applyActions(c.query, c.query.OnResult(m.Now(), result))
}

// finish records the results of a query if it is measured.
func (m *model) finish(q *query, f *scatter.Finish) {
	if !m.measured(q) {
		return
	}
	m.result.queries++
	m.result.firstAttempts += m.config.shards
	m.result.attempts += len(q.calls)
	m.result.durations = append(m.result.durations, m.Now().Sub(q.startedAt).Seconds()*1000)
	if f.Answer != nil {
		m.result.coverage += f.Answer.Coverage()
	}
}

// measured reports whether the query started in the measured time.
func (m *model) measured(q *query) bool {
	from := epoch.Add(warmUp)
	if m.scenario == frozen {
		from = epoch.Add(freezeAt + freezeSettle)
	}
	return !q.startedAt.Before(from)
}

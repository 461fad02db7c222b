package routing

import (
	"sort"
	"time"
)

const (
	// maxQuestionsPerTick bounds the number of upstreams that one Tick queries
	// peers about.
	maxQuestionsPerTick = 256
	// demandWindow is the time for which a refused pick counts as demand for a
	// permit. A waiting query retries its pick every few milliseconds. A permit
	// borrowed after the query has been canceled would be unused for the whole
	// loan term.
	demandWindow = 20 * time.Millisecond
)

// RampQuery asks one VM about upstreams that are not warm on this VM.
type RampQuery struct {
	// To is the ID of the VM that receives the query.
	To string
	// CreatedAt is the time when the query was created. The caller passes it
	// back to OnRampAnswers; it need not be sent.
	CreatedAt time.Time
	Questions []RampQuestion
}

// RampQuestion is the part of a RampQuery about one upstream.
type RampQuestion struct {
	Upstream string
	// WantPermit reports whether a request was refused recently for lack of a
	// permit.
	WantPermit bool
}

// RampAnswer is the answer to one RampQuestion.
type RampAnswer struct {
	Upstream string
	// Notice is set if the VM has evidence of the present ramp stage.
	Notice *RampNotice
	// Lent is the number of first-stage permits that the querying VM may use
	// for a fixed term, counted from when it created the query.
	Lent int
}

func (RampQuery) action() {}

// queryPeers queues the questions that are due, as one RampQuery for each peer.
func (r *Router) queryPeers(now time.Time) {
	t := r.table.Load()
	at := int64(now.Sub(t.epoch))
	byVM := make(map[string][]RampQuestion)
	permitRequested := make(map[*shardState]bool)
	count := 0
	for _, u := range t.ordered {
		if count >= maxQuestionsPerTick {
			break
		}
		q, to, ok := u.dueQuestion(now, at, r.self.ID, mix(r.randomState.Add(1)), !permitRequested[u.shard])
		if !ok {
			continue
		}
		permitRequested[u.shard] = permitRequested[u.shard] || q.WantPermit
		count++
		for _, vm := range to {
			byVM[vm] = append(byVM[vm], q)
		}
	}
	r.queueQueries(now, byVM)
}

func (r *Router) queueQueries(now time.Time, byVM map[string][]RampQuestion) {
	vms := make([]string, 0, len(byVM))
	for vm := range byVM {
		vms = append(vms, vm)
	}
	sort.Strings(vms)
	for _, vm := range vms {
		questions := byVM[vm]
		sort.Slice(questions, func(i, j int) bool {
			return questions[i].Upstream < questions[j].Upstream
		})
		r.queue(now, RampQuery{To: vm, CreatedAt: now, Questions: questions})
	}
}

// dueQuestion returns the question about the upstream and its recipients, if
// one is due. The recipients are the top-ranked VM, which has a permit to lend,
// and one other VM at random. With mayRequestPermit unset it requests no
// permit: one replica of a shard is enough, and an unused loan keeps the permit
// from all VMs.
func (u *upstream) dueQuestion(now time.Time, at int64, self string, random uint64, mayRequestPermit bool) (RampQuestion, []string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.active || u.ramp.warm || len(u.domain.home) == 0 {
		return RampQuestion{}, nil, false
	}
	refusedAt := u.shard.refusedAt.Load()
	hasDemand := mayRequestPermit && refusedAt > 0 && at-refusedAt < int64(demandWindow) && u.permittedRequests() == 0
	if !u.ramp.isQueryDue(now, hasDemand) {
		return RampQuestion{}, nil, false
	}
	u.ramp.scheduleQuery(now, hasDemand)
	var to []string
	if u.topRankedVM != self {
		to = append(to, u.topRankedVM)
	}
	other := u.domain.home[random%uint64(len(u.domain.home))].id
	if other != self && other != u.topRankedVM {
		to = append(to, other)
	}
	return RampQuestion{Upstream: u.id, WantPermit: hasDemand}, to, len(to) > 0
}

// Sharers returns the IDs of the other VMs that share an upstream. They receive
// its notices.
func (r *Router) Sharers(id string) []string {
	u := r.lookup(id)
	if u == nil {
		return nil
	}
	u.mu.Lock()
	d := u.domain
	u.mu.Unlock()
	out := make([]string, 0, len(d.home)+len(d.fallback))
	for _, list := range [2][]sharer{d.home, d.fallback} {
		for i := range list {
			if list[i].id != r.self.ID {
				out = append(out, list[i].id)
			}
		}
	}
	return out
}

// OnRampQuery answers a peer's questions. This VM stops using the permits that
// it lends before OnRampQuery returns.
func (r *Router) OnRampQuery(now time.Time, questions []RampQuestion) []RampAnswer {
	var out []RampAnswer
	for _, q := range questions {
		u := r.lookup(q.Upstream)
		if u == nil {
			continue
		}
		a := u.answerQuestion(now, q)
		if a.Notice != nil || a.Lent > 0 {
			out = append(out, a)
		}
	}
	return out
}

func (u *upstream) answerQuestion(now time.Time, q RampQuestion) RampAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	a := RampAnswer{Upstream: u.id}
	if !u.health.suspected && u.ramp.evidenceAt.After(u.ramp.coldSince) {
		n := u.notice(now)
		a.Notice = &n
	}
	if q.WantPermit {
		a.Lent = u.lend(now)
	}
	return a
}

// OnRampAnswers applies the answers to the RampQuery that was created at
// queriedAt.
func (r *Router) OnRampAnswers(now, queriedAt time.Time, answers []RampAnswer) {
	for _, a := range answers {
		if a.Notice != nil {
			r.applyRampNotice(now, queriedAt, *a.Notice)
		}
		if a.Lent > 0 {
			r.applyLoan(now, queriedAt, a)
		}
	}
}

func (r *Router) applyLoan(now, queriedAt time.Time, a RampAnswer) {
	t := r.table.Load()
	u := r.lookup(a.Upstream)
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.borrow(now, queriedAt, t.epoch, a.Lent)
}

package routing

import (
	"sort"
	"time"
)

const (
	// maxQuestionsPerTick bounds the upstreams that one Tick asks for.
	maxQuestionsPerTick = 256
	// demandWindow is the time for which a refused pick counts as demand. A query
	// that waits picks again every few milliseconds; a permit that is borrowed
	// after it has given up is lost to everybody for the term.
	demandWindow = 20 * time.Millisecond
)

// RampQuery asks one VM what it knows of upstreams that are not warm here.
type RampQuery struct {
	// To is the ID of the VM that is asked.
	To string
	// CreatedAt is when the question was made. It is handed back to OnRampAnswers and
	// need not travel.
	CreatedAt time.Time
	Questions []RampQuestion
}

// RampQuestion asks for one upstream.
type RampQuestion struct {
	Upstream string
	// WantPermit tells whether a request was refused lately for want of a
	// permit.
	WantPermit bool
}

// RampAnswer answers one RampQuestion.
type RampAnswer struct {
	Upstream string
	// Notice is set if the VM has evidence of the ramp.
	Notice *RampNotice
	// Lent is the number of permits of the first stage that the asker may use
	// for a fixed term from when it asked.
	Lent int
}

func (RampQuery) action() {}

// queryPeers queues the questions whose turn has come, one RampQuery for each VM
// that is asked.
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

// dueQuestion returns the question for the upstream and whom to ask, if it is
// due: the warmer, who has a permit to lend, and one other VM at random. With
// mayWant unset it asks for no permit: one replica of a shard is enough, and a
// loan that isn't used keeps the permit from everybody.
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

// Sharers returns the IDs of the other VMs that share an upstream: those that
// its notices go to.
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

// OnRampQuery answers a peer's questions. Permits that it lends are given up
// before it returns.
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

// OnRampAnswers takes in the answers to the RampQuery that was made at askedAt.
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

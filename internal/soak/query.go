package soak

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/admission"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/keys"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
)

// ticketPollInterval is the interval at which a queued query checks its ticket.
const ticketPollInterval = 5 * time.Millisecond

// query is one caller's request.
type query struct {
	id           int
	vm           *vm
	customer     string
	key          string
	service      *catalog.Service
	deadline     time.Time
	scatterQuery *scatter.Query
	calls        map[int]*call
	scheduler    *admission.Scheduler
	permit       admission.Permit
	done         bool
	timerAt      time.Time
	// runs counts the attempts that upstreams ran.
	runs int
	// reportedNotRun is set once the response to the caller stated that the query
	// has not run.
	reportedNotRun bool
}

// call is the transmission of one attempt to an upstream.
type call struct {
	query    *query
	attempt  scatter.Attempt
	upstream *upstream
	sentAt   time.Time
	sent     bool // bytes may have reached the upstream
	ended    bool
	// runningInstance is the instance of the upstream that runs the call, or zero.
	runningInstance int
	canceled        bool
}

// sendQuery sends one query of a customer to a VM.
func (w *world) sendQuery(v *vm, customer, key, service string) {
	w.queries++
	q := &query{id: w.queries, vm: v, customer: customer, key: key, calls: make(map[int]*call)}
	w.clock.After(w.latency(), func() { v.run(func() { q.serve(service) }) })
}

func (q *query) now() time.Time { return q.vm.world.clock.Now() }

func (q *query) serve(service string) {
	cat := q.vm.catalog()
	if cat == nil {
		q.refuse(verdict.Refuse(verdict.CodeNotReady, time.Second, "no view"))
		return
	}
	hash := keys.Hash(q.key)
	if cat.KeyUnconfirmed(hash) {
		q.refuse(verdict.Refuse(verdict.CodeNotReady, time.Second, "key unconfirmed"))
		return
	}
	customer := cat.CustomerByKeyHash(hash)
	if customer == nil {
		q.refuse(verdict.Refuse(verdict.CodeUnknownKey, 0, "unknown key"))
		return
	}
	if h := q.vm.world.hooks.keyOwner; h != nil {
		customer = h(cat, customer)
	}
	q.vm.world.check.checkKey(q, customer.Name)
	q.service = cat.Services[service]
	q.admit(customer, q.vm.admit, q.now().Add(quota.FetchTimeout))
}

// admit takes a token of the customer's limit and enqueues the query. Without a
// token it fetches tokens from other VMs and retries until the given time.
func (q *query) admit(customer *catalog.Customer, try func(customer string) quota.Decision, until time.Time) {
	d := try(customer.Name)
	switch {
	case d.OK:
		q.vm.world.check.checkRate(customer.Name)
		q.enqueue(customer)
	case d.ShouldFetch && q.now().Before(until):
		q.vm.fetchTokens()
		q.vm.world.clock.After(quota.FetchRetryInterval, func() {
			q.vm.run(func() { q.admit(customer, q.vm.retryAdmit, until) })
		})
	default:
		q.refuse(verdict.Refuse(verdict.CodeRateLimited, d.RetryAfter, "over the rate"))
	}
}

func (q *query) enqueue(customer *catalog.Customer) {
	q.deadline = q.now().Add(q.service.Deadline)
	q.scheduler = q.vm.scheduler(q.service)
	d := q.scheduler.Enqueue(q.now(), admission.Share{Customer: customer.Name, Rate: customer.Rate, Burst: customer.Burst}, q.deadline)
	switch {
	case d.Refusal != nil:
		q.refuse(d.Refusal)
	case d.Ticket != nil:
		q.awaitTicket(d.Ticket)
	default:
		q.permit = d.Permit
		q.start()
	}
}

func (q *query) awaitTicket(t *admission.Ticket) {
	select {
	case <-t.Ready():
		permit, refusal := t.Result()
		if refusal != nil {
			q.refuse(refusal)
			return
		}
		q.permit = permit
		q.start()
		return
	default:
	}
	if !q.now().Before(t.StartBy()) {
		q.scheduler.Cancel(q.now(), t)
	}
	q.vm.world.clock.After(ticketPollInterval, func() { q.vm.run(func() { q.awaitTicket(t) }) })
}

func (q *query) start() {
	s := q.service
	q.scatterQuery = scatter.New(scatter.Spec{
		Service:     s.Name,
		Layout:      s.Shards,
		RequestID:   fmt.Sprint(q.id),
		Deadline:    q.deadline,
		Idempotent:  s.Idempotent || q.vm.world.hooks.treatAsIdempotent,
		SingleShard: s.SingleShard,
		Shard:       q.id % len(s.Shards),
		OneSnapshot: s.Snapshots,
		MinCoverage: q.vm.world.minCoverage(),
	}, q.vm.sharedFor(s))
	q.applyActions(q.scatterQuery.Start(q.now()))
}

func (q *query) applyActions(actions []scatter.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *scatter.Send:
			q.send(a.Attempt)
		case *scatter.Cancel:
			q.cancel(a.Attempt)
		case *scatter.Finish:
			q.finish(a)
		}
	}
	q.scheduleTimer()
}

// scheduleTimer schedules the next timer event of the scatter query.
func (q *query) scheduleTimer() {
	at, ok := q.scatterQuery.NextTimer()
	if !ok || q.done || !q.timerAt.IsZero() && !at.Before(q.timerAt) {
		return
	}
	q.timerAt = at
	q.vm.world.clock.After(at.Sub(q.now()), func() {
		q.vm.run(func() {
			if q.done || q.timerAt != at {
				return
			}
			q.timerAt = time.Time{}
			q.applyActions(q.scatterQuery.OnTimer(q.now()))
		})
	})
}

func (q *query) finish(f *scatter.Finish) {
	q.done = true
	q.scheduler.Release(q.now(), q.permit, admission.OutcomeOf(f.Refusal))
	if f.Refusal != nil {
		q.refuse(f.Refusal)
		return
	}
	q.vm.world.check.checkAnswer(q, f.Answer)
}

func (q *query) refuse(r *verdict.Refusal) {
	q.done = true
	if q.vm.world.hooks.claimNotRun {
		r = r.WithVerdict(verdict.NotRun)
	}
	q.vm.world.check.checkRefusal(q, r)
}

func (q *query) send(a scatter.Attempt) {
	w := q.vm.world
	c := &call{query: q, attempt: a, upstream: w.upstreams[a.Target.Upstream], sentAt: q.now()}
	q.calls[a.ID] = c
	w.check.checkDispatch(q.vm, c)
	if a.Target.Trial {
		w.clock.After(a.Deadline.Sub(q.now()), func() { q.cancel(a.ID) })
	}
	if q.vm.connectedInstance[c.upstream.id] == 0 {
		w.clock.After(connectCost+w.latency(), func() { q.vm.run(c.connect) })
		return
	}
	c.write()
}

// connect opens a connection to the upstream and sends the request on it. It fails
// if the VM lost its connections to the upstream after the call began.
func (c *call) connect() {
	v := c.query.vm
	switch {
	case c.ended:
	case !c.upstream.up || v.world.partitioned(v.self.Zone, c.upstream.zone):
		c.end(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeConnectFailed}, Verdict: verdict.NotRun})
	case v.connectionsLostAt[c.upstream.id].After(c.sentAt):
		c.end(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeConnectFailed}, Verdict: verdict.NotRun})
	default:
		v.connectedInstance[c.upstream.id] = c.upstream.instance
		c.write()
	}
}

// write sends the request. The request is lost if the upstream goes down, or a
// partition begins, before it arrives.
func (c *call) write() {
	v, w := c.query.vm, c.query.vm.world
	if !c.upstream.up || v.connectedInstance[c.upstream.id] != c.upstream.instance {
		w.dropConnections(v, c.upstream)
		c.endLater(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeConnectFailed}, Verdict: verdict.NotRun})
		return
	}
	c.sent = true
	instance := c.upstream.instance
	w.clock.After(w.latency(), func() {
		if !c.upstream.up || c.upstream.instance != instance || w.partitioned(v.self.Zone, c.upstream.zone) || c.ended {
			return // dropConnections or the deadline ends the call
		}
		c.upstream.handle(c, func(r scatter.Result) {
			if w.hooks.result != nil {
				w.hooks.result(&r)
			}
			if w.partitioned(v.self.Zone, c.upstream.zone) {
				return
			}
			w.clock.After(w.latency(), func() { v.run(func() { c.end(r) }) })
		})
	})
}

// end reports the result of the call, at most once.
func (c *call) end(r scatter.Result) {
	if c.ended {
		return
	}
	c.ended = true
	r.Attempt = c.attempt.ID
	r.Report.Latency = c.query.now().Sub(c.sentAt)
	if c.query.vm.up {
		c.query.applyActions(c.query.scatterQuery.OnResult(c.query.now(), r))
	}
}

// endLater reports the result in a separate event, because a query must not be
// called while its actions are being applied.
func (c *call) endLater(r scatter.Result) {
	v := c.query.vm
	v.world.clock.After(0, func() { v.run(func() { c.end(r) }) })
}

// cancel cancels a call by closing its connection. The upstream stops the work when
// it sees the close.
func (q *query) cancel(id int) {
	c, w := q.calls[id], q.vm.world
	v := verdict.NotRun
	if c.sent {
		v = verdict.MayHaveRun
		w.clock.After(w.latency(), func() { c.upstream.cancel(c) })
	}
	c.endLater(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeCanceled, Load: -1}, Verdict: v})
}

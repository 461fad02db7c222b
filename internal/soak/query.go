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

// ticketPoll is how often a waiting query looks at its ticket.
const ticketPoll = 5 * time.Millisecond

// query is one caller's request.
type query struct {
	id       int
	vm       *vm
	customer string
	key      string
	service  *catalog.Service
	deadline time.Time
	machine  *scatter.Query
	calls    map[int]*call
	sched    *admission.Scheduler
	permit   admission.Permit
	done     bool
	timerAt  time.Time
	// runs counts the upstreams that ran the query.
	runs int
	// notRun tells that the caller was told so.
	notRun bool
}

// call is one attempt on its way.
type call struct {
	query   *query
	attempt scatter.Attempt
	leaf    *leaf
	sentAt  time.Time
	sent    bool // bytes may have reached the leaf
	ended   bool
	// runningIn is the leaf's incarnation that runs the call, zero for none.
	runningIn int
	stopped   bool
}

// request sends one query of a customer to a VM.
func (w *world) request(v *vm, customer, key, service string) {
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
	if h := q.vm.world.hooks.owner; h != nil {
		customer = h(cat, customer)
	}
	q.vm.world.check.authenticated(q, customer.Name)
	q.service = cat.Services[service]
	q.admit(customer, q.vm.admit, q.now().Add(quota.FetchTimeout))
}

// admit spends one request of the customer's limit and goes on, or waits for
// tokens of other VMs.
func (q *query) admit(customer *catalog.Customer, try func(customer string) quota.Decision, until time.Time) {
	d := try(customer.Name)
	switch {
	case d.OK:
		q.vm.world.check.admitted(customer.Name)
		q.enter(customer)
	case d.ShouldFetch && q.now().Before(until):
		q.vm.fetch()
		q.vm.world.clock.After(quota.FetchRetryInterval, func() {
			q.vm.run(func() { q.admit(customer, q.vm.admitAgain, until) })
		})
	default:
		q.refuse(verdict.Refuse(verdict.CodeRateLimited, d.RetryAfter, "over the rate"))
	}
}

func (q *query) enter(customer *catalog.Customer) {
	q.deadline = q.now().Add(q.service.Deadline)
	q.sched = q.vm.scheduler(q.service)
	d := q.sched.Enqueue(q.now(), admission.Share{Customer: customer.Name, Rate: customer.Rate, Burst: customer.Burst}, q.deadline)
	switch {
	case d.Refusal != nil:
		q.refuse(d.Refusal)
	case d.Ticket != nil:
		q.await(d.Ticket)
	default:
		q.permit = d.Permit
		q.start()
	}
}

func (q *query) await(t *admission.Ticket) {
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
		q.sched.Cancel(q.now(), t)
	}
	q.vm.world.clock.After(ticketPoll, func() { q.vm.run(func() { q.await(t) }) })
}

func (q *query) start() {
	s := q.service
	q.machine = scatter.New(scatter.Spec{
		Service:     s.Name,
		Layout:      s.Shards,
		RequestID:   fmt.Sprint(q.id),
		Deadline:    q.deadline,
		Idempotent:  s.Idempotent || q.vm.world.hooks.repeat,
		SingleShard: s.SingleShard,
		Shard:       q.id % len(s.Shards),
		Snapshots:   s.Snapshots,
		MinCoverage: q.vm.world.minCoverage(),
	}, q.vm.sharedFor(s))
	q.apply(q.machine.Start(q.now()))
}

func (q *query) apply(actions []scatter.Action) {
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
	q.arm()
}

// arm schedules the query's next timer.
func (q *query) arm() {
	at, ok := q.machine.NextTimer()
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
			q.apply(q.machine.OnTimer(q.now()))
		})
	})
}

func (q *query) finish(f *scatter.Finish) {
	q.done = true
	q.sched.Release(q.now(), q.permit, admission.OutcomeOf(f.Refusal))
	if f.Refusal != nil {
		q.refuse(f.Refusal)
		return
	}
	q.vm.world.check.answer(q, f.Answer)
}

func (q *query) refuse(r *verdict.Refusal) {
	q.done = true
	if q.vm.world.hooks.reassure {
		r = r.WithVerdict(verdict.NotRun)
	}
	q.vm.world.check.refusal(q, r)
}

func (q *query) send(a scatter.Attempt) {
	w := q.vm.world
	c := &call{query: q, attempt: a, leaf: w.leaves[a.Target.Upstream], sentAt: q.now()}
	q.calls[a.ID] = c
	w.check.dispatched(q.vm, c)
	if a.Target.Trial {
		w.clock.After(a.Deadline.Sub(q.now()), func() { q.cancel(a.ID) })
	}
	if q.vm.conns[c.leaf.id] == 0 {
		w.clock.After(connectCost+w.latency(), func() { q.vm.run(c.connect) })
		return
	}
	c.write()
}

// connect opens a connection to the leaf and sends the request on it. A request
// that was sent for before the last connections were lost isn't.
func (c *call) connect() {
	v := c.query.vm
	switch {
	case c.ended:
	case !c.leaf.up || v.world.isCut(v.self.Zone, c.leaf.zone):
		c.end(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeConnectFailed}, Verdict: verdict.NotRun})
	case v.lostAt[c.leaf.id].After(c.sentAt):
		c.end(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeConnectFailed}, Verdict: verdict.NotRun})
	default:
		v.conns[c.leaf.id] = c.leaf.instance
		c.write()
	}
}

// write sends the request. It doesn't arrive if the leaf is gone meanwhile.
func (c *call) write() {
	v, w := c.query.vm, c.query.vm.world
	if !c.leaf.up || v.conns[c.leaf.id] != c.leaf.instance {
		w.loseConnections(v, c.leaf)
		c.endLater(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeConnectFailed}, Verdict: verdict.NotRun})
		return
	}
	c.sent = true
	instance := c.leaf.instance
	w.clock.After(w.latency(), func() {
		if !c.leaf.up || c.leaf.instance != instance || w.isCut(v.self.Zone, c.leaf.zone) || c.ended {
			return // loseConnections or the deadline ends the call
		}
		c.leaf.handle(c, func(r scatter.Result) {
			if w.hooks.result != nil {
				w.hooks.result(&r)
			}
			if w.isCut(v.self.Zone, c.leaf.zone) {
				return
			}
			w.clock.After(w.latency(), func() { v.run(func() { c.end(r) }) })
		})
	})
}

// end reports the end of the call once.
func (c *call) end(r scatter.Result) {
	if c.ended {
		return
	}
	c.ended = true
	r.Attempt = c.attempt.ID
	r.Report.Latency = c.query.now().Sub(c.sentAt)
	if c.query.vm.up {
		c.query.apply(c.query.machine.OnResult(c.query.now(), r))
	}
}

// endLater reports the end as an event of its own, so that a query is never
// called while its actions are being carried out.
func (c *call) endLater(r scatter.Result) {
	v := c.query.vm
	v.world.clock.After(0, func() { v.run(func() { c.end(r) }) })
}

// cancel gives a call up, as the closing of its connection does. The leaf stops
// the work when it sees the close.
func (q *query) cancel(id int) {
	c, w := q.calls[id], q.vm.world
	v := verdict.NotRun
	if c.sent {
		v = verdict.MayHaveRun
		w.clock.After(w.latency(), func() { c.leaf.stop(c) })
	}
	c.endLater(scatter.Result{Report: scatter.Report{Outcome: scatter.OutcomeCanceled, Load: -1}, Verdict: v})
}

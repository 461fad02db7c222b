package routing

import (
	"fmt"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/scatter"
)

// The bounds assumed by the sum properties; see docs/design/upstream-limits.md.
const (
	modelLag      = time.Second            // between two VMs' views
	modelDeadline = 500 * time.Millisecond // of a request
	modelStep     = 250 * time.Millisecond // between two ticks
	modelTransit  = 250 * time.Millisecond // of an unsolicited RampNotice
)

// fleetModel is a test oracle for the sums over all VMs: VMs with lagging
// views, upstreams that count their running requests, and a network that
// delays, reorders and loses messages.
type fleetModel struct {
	now       time.Time
	cfg       Config
	disabled  disabledMechanisms
	catalogs  []published[*catalog.Catalog]
	lists     []published[membership.List]
	vms       []*vmModel
	nextVM    int
	calls     []*callModel
	upstreams map[string]*upstreamModel
	messages  []func()
	expiring  []time.Time // of messages; zero means never
}

// disabledMechanisms selects mechanisms to disable. The zero value disables
// none.
type disabledMechanisms struct {
	partitioning bool // each VM counts only itself
	ramp         bool // all upstreams count as warm immediately
	holdDown     bool
	lending      bool // a lender continues to use what it lent
}

type published[T any] struct {
	at    time.Time
	value T
}

type vmModel struct {
	vm     membership.VM
	router *Router
	list   int // index into lists
	config int // index into catalogs
}

type callModel struct {
	vm      *vmModel
	target  scatter.Target
	shard   int
	started time.Time
	counted bool // admitted since the upstream turned cold
}

// upstreamModel is the actual state of an upstream.
type upstreamModel struct {
	instance int
	answers  int // complete answers since it turned cold
}

func newFleetModel(c *catalog.Catalog, zones []string, vms int, disabled disabledMechanisms) *fleetModel {
	m := &fleetModel{now: testStart, disabled: disabled, upstreams: map[string]*upstreamModel{}}
	m.cfg = Config{AnswersPerStage: 2}.withDefaults()
	if disabled.holdDown {
		m.cfg.HoldDown = 1
	}
	m.catalogs = append(m.catalogs, published[*catalog.Catalog]{m.now, c})
	for _, s := range c.Services["svc"].Shards {
		for _, u := range s.Replicas {
			m.upstreams[u.ID] = &upstreamModel{}
		}
	}
	m.lists = append(m.lists, published[membership.List]{m.now, membership.List{Revision: 1}})
	for i := range vms {
		m.join(zones[i%len(zones)])
	}
	return m
}

func (m *fleetModel) service() *catalog.Service {
	return m.catalogs[len(m.catalogs)-1].value.Services["svc"]
}

// join starts a VM and publishes a list with it.
func (m *fleetModel) join(zone string) {
	m.nextVM++
	vm := membership.VM{ID: fmt.Sprintf("vm-%d", m.nextVM), Zone: zone}
	old := m.lists[len(m.lists)-1].value
	m.publish(append(slices.Clone(old.VMs), vm))
	v := &vmModel{vm: vm, router: New(vm, newTestRNG(uint64(m.nextVM)), m.cfg)}
	v.list, v.config = len(m.lists)-1, len(m.catalogs)-1
	m.vms = append(m.vms, v)
	m.update(v)
}

// unlist publishes a list without the VM, which may keep running.
func (m *fleetModel) unlist(id string) {
	old := m.lists[len(m.lists)-1].value
	m.publish(slices.DeleteFunc(slices.Clone(old.VMs), func(vm membership.VM) bool { return vm.ID == id }))
}

func (m *fleetModel) publish(vms []membership.VM) {
	revision := uint64(len(m.lists) + 1)
	m.lists = append(m.lists, published[membership.List]{m.now, membership.List{Revision: revision, VMs: vms}})
}

func (m *fleetModel) configure(c *catalog.Catalog) {
	c.Version = uint64(len(m.catalogs) + 1)
	m.catalogs = append(m.catalogs, published[*catalog.Catalog]{m.now, c})
}

func (m *fleetModel) update(v *vmModel) {
	list := m.lists[v.list].value
	if m.disabled.partitioning {
		list = membership.List{Revision: list.Revision, VMs: []membership.VM{v.vm}}
	}
	v.router.Update(m.now, m.catalogs[v.config].value, list)
}

// advance moves the clock in steps that are short compared with the lag.
func (m *fleetModel) advance(d time.Duration) {
	for d > 0 {
		m.step(min(d, modelStep))
		d -= modelStep
	}
}

// step moves the clock, updates views before their lag exceeds the bound,
// cancels requests at their deadline, and ticks the VMs.
func (m *fleetModel) step(d time.Duration) {
	m.now = m.now.Add(d)
	for _, c := range slices.Clone(m.calls) {
		if m.now.Sub(c.started) >= modelDeadline {
			m.end(c, scatter.Report{Outcome: scatter.OutcomeCanceled, Latency: m.now.Sub(c.started)})
		}
	}
	for _, v := range m.vms {
		v.list = max(v.list, newestBefore(m.lists, m.now.Add(modelStep-modelLag)))
		v.config = max(v.config, newestBefore(m.catalogs, m.now.Add(modelStep-modelLag)))
		m.update(v)
		m.runActions(v)
	}
}

func newestBefore[T any](all []published[T], limit time.Time) int {
	newest := 0
	for i := range all {
		if !all[i].at.After(limit) {
			newest = i
		}
	}
	return newest
}

// runActions ticks a VM and sends the messages that the tick returns.
func (m *fleetModel) runActions(v *vmModel) {
	if m.disabled.ramp {
		m.warmAll(v)
	}
	for _, a := range v.router.Tick(m.now) {
		switch a := a.(type) {
		case ColdNotice:
			m.broadcast(v, time.Time{}, func(to *vmModel, age time.Duration) {
				late := a
				late.Age += age
				to.router.OnColdNotice(m.now, late)
			})
		case RampNotice:
			m.broadcast(v, m.now.Add(modelTransit), func(to *vmModel, _ time.Duration) {
				to.router.OnRampNotice(m.now, a)
			})
		case RampQuery:
			m.deliverQuery(v, a)
		}
	}
}

func (m *fleetModel) warmAll(v *vmModel) {
	for _, u := range v.router.table.Load().upstreams {
		u.mu.Lock()
		v.router.advance(m.now, u, 10, CauseAnswers)
		u.mu.Unlock()
	}
}

func (m *fleetModel) broadcast(from *vmModel, expires time.Time, deliver func(*vmModel, time.Duration)) {
	sent := m.now
	for _, to := range m.vms {
		if to != from {
			m.send(expires, func() { deliver(to, m.now.Sub(sent)) })
		}
	}
}

func (m *fleetModel) deliverQuery(from *vmModel, q RampQuery) {
	for _, to := range m.vms {
		if to.vm.ID != q.To {
			continue
		}
		m.send(time.Time{}, func() {
			answers := to.router.OnRampQuery(m.now, q.Questions)
			m.keepLentPermits(to, answers)
			m.send(time.Time{}, func() { from.router.OnRampAnswers(m.now, q.CreatedAt, answers) })
		})
	}
}

// keepLentPermits makes the lender continue to use the permits that it lent.
func (m *fleetModel) keepLentPermits(lender *vmModel, answers []RampAnswer) {
	if !m.disabled.lending {
		return
	}
	for _, a := range answers {
		u := lender.router.lookup(a.Upstream)
		u.mu.Lock()
		u.loans.lent = 0
		u.refreshLimit()
		u.mu.Unlock()
	}
}

func (m *fleetModel) send(expires time.Time, deliver func()) {
	m.messages = append(m.messages, deliver)
	m.expiring = append(m.expiring, expires)
}

// takeMessage removes a message and returns it, or nil if it has expired.
func (m *fleetModel) takeMessage(i int) func() {
	deliver, expires := m.messages[i], m.expiring[i]
	m.messages = slices.Delete(m.messages, i, i+1)
	m.expiring = slices.Delete(m.expiring, i, i+1)
	if !expires.IsZero() && m.now.After(expires) {
		return nil
	}
	return deliver
}

// pick makes a VM start a request.
func (m *fleetModel) pick(v *vmModel, shard int) {
	target, ok := v.router.Pick(m.now, "svc", shard, nil)
	if !ok {
		return
	}
	m.calls = append(m.calls, &callModel{vm: v, target: target, shard: shard, started: m.now, counted: true})
}

func (m *fleetModel) end(c *callModel, rep scatter.Report) {
	m.calls = slices.DeleteFunc(m.calls, func(other *callModel) bool { return other == c })
	c.vm.router.Done(m.now, "svc", c.shard, c.target, rep)
}

// answer ends a request with a good answer.
func (m *fleetModel) answer(c *callModel) {
	t := m.upstreams[c.target.Upstream]
	t.answers++
	m.end(c, scatter.Report{Latency: time.Millisecond, Load: -1, Instance: fmt.Sprint(t.instance)})
}

// restart turns an upstream cold and breaks its connections.
func (m *fleetModel) restart(id string) {
	t := m.upstreams[id]
	t.instance++
	t.answers = 0
	for _, v := range m.vms {
		v.router.OnConnectionsLost(m.now, id)
	}
	for _, c := range slices.Clone(m.calls) {
		if c.target.Upstream == id {
			m.end(c, scatter.Report{Outcome: scatter.OutcomeConnectionLost, Load: -1})
		}
	}
}

// violation describes a violated bound. It is empty if there is none.
func (m *fleetModel) violation() string {
	svc := m.service()
	running := map[string]int{}
	for _, c := range m.calls {
		running[c.target.Upstream]++
	}
	for id, t := range m.upstreams {
		stage := min(t.answers/m.cfg.AnswersPerStage, 10)
		permits := svc.ColdPermits << stage
		if permits < svc.Slots && running[id] > permits {
			return fmt.Sprintf("%s runs %d requests, permits %d", id, running[id], permits)
		}
	}
	connections := map[string]int{}
	for _, v := range m.vms {
		for _, target := range v.router.Connections(m.now) {
			connections[target.Upstream] += target.Max
		}
	}
	for id, n := range connections {
		if n > svc.Connections {
			return fmt.Sprintf("%s has %d connections, limit %d", id, n, svc.Connections)
		}
	}
	return ""
}

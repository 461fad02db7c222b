package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// simulation runs the Owners of a fleet on a virtual clock. All messages arrive
// at once or not at all, but late answers and handovers are recorded and
// delivered again.
type simulation struct {
	now        time.Duration
	running    []*process
	lists      []*membership.List
	nextID     int
	replayable []func()
	// breakRule disables a rule before each step of an Owner.
	breakRule func(o *Owner, now membership.ClockReading)
	failure   string
}

type process struct {
	owner     *Owner
	vm        membership.VM
	partition int
	// unreachable is the ID of a VM that the process can't exchange messages with.
	unreachable string
	// maxRevision is the newest list that the process can read; 0 means no
	// bound.
	maxRevision   uint64
	frozenUntil   time.Duration
	knownRevision uint64
}

// fault is an event that Owners must tolerate.
type fault int

const (
	crash fault = iota
	drop
	partition
	stale
	freeze
	heal
	replay
	disconnectPair
	leave
	markLeaving
	faultCount
)

const step = 100 * time.Millisecond

func newSimulation(breakRule func(*Owner, membership.ClockReading)) *simulation {
	w := &simulation{breakRule: breakRule, nextID: 10}
	zones := []string{"a", "a", "a", "b", "b", "c", "c", "d", "d"}
	var vms []membership.VM
	for i, z := range zones {
		vms = append(vms, membership.VM{ID: fmt.Sprintf("vm-%d", i+1), Zone: z})
	}
	w.publish(vms)
	for _, vm := range vms {
		w.start(vm)
	}
	w.run(12 * time.Second)
	return w
}

func (w *simulation) clock() membership.ClockReading {
	return membership.ClockReading{Mono: w.now, Wall: w.now}
}

func (w *simulation) newest() *membership.List { return w.lists[len(w.lists)-1] }

func (w *simulation) publish(vms []membership.VM) {
	w.lists = append(w.lists, &membership.List{Revision: uint64(len(w.lists) + 1), VMs: vms})
}

func (w *simulation) start(vm membership.VM) {
	w.nextID++
	w.running = append(w.running, &process{vm: vm, owner: NewOwner(vm, uint64(w.nextID), w.clock())})
}

func (w *simulation) find(id string) *process {
	for _, p := range w.running {
		if p.vm.ID == id {
			return p
		}
	}
	return nil
}

func (w *simulation) run(d time.Duration) {
	for end := w.now + d; w.now < end && w.failure == ""; w.now += step {
		for _, p := range w.running {
			if w.now >= p.frozenUntil {
				w.tick(p)
				w.check()
			}
		}
	}
}

func (w *simulation) tick(p *process) {
	list := w.newest()
	if p.maxRevision != 0 {
		list = w.lists[min(p.maxRevision, list.Revision)-1]
	}
	w.deliverList(p, list)
	w.update(p)
	for _, vm := range p.owner.Probes(w.clock()) {
		w.probe(p, w.find(vm.ID))
	}
}

func (w *simulation) deliverList(p *process, list *membership.List) {
	if list == nil || list.Revision <= p.knownRevision {
		return
	}
	p.knownRevision = list.Revision
	w.applyBreakRule(p)
	w.handOver(p, p.owner.SetList(w.clock(), list))
}

func (w *simulation) applyBreakRule(p *process) {
	if w.breakRule != nil {
		w.breakRule(p.owner, w.clock())
	}
}

func (w *simulation) update(p *process) {
	w.applyBreakRule(p)
	w.handOver(p, p.owner.Update(w.clock()))
}

func (w *simulation) probe(from, to *process) {
	if to == nil || !connected(from, to) || w.now < to.frozenUntil {
		return
	}
	sentAt := w.clock()
	to.owner.OnPush(sentAt, from.owner.Digest())
	w.update(to)
	answer := to.owner.Digest()
	known := to.knownRevision
	deliver := func() {
		if known > 0 {
			w.deliverList(from, w.lists[known-1])
		}
		from.owner.OnAnswer(sentAt, answer)
		w.update(from)
	}
	deliver()
	w.record(deliver)
}

func connected(a, b *process) bool {
	return a.partition == b.partition && a.unreachable != b.vm.ID && b.unreachable != a.vm.ID
}

// record stores a message so that it can be delivered again.
func (w *simulation) record(deliver func()) {
	const most = 300
	w.replayable = append(w.replayable, deliver)
	if len(w.replayable) > 2*most {
		w.replayable = append([]func(){}, w.replayable[most:]...)
	}
}

func (w *simulation) handOver(p *process, changes []SlotChange) {
	for _, c := range changes {
		to := w.find(c.Successor)
		if c.Acquired || c.Successor == "" || !c.CanHandOver || to == nil || !connected(p, to) {
			continue
		}
		h := Handover{
			Sender:            p.owner.Digest(),
			ToIncarnation:     c.SuccessorIncarnation,
			OlderListsExpired: p.owner.OlderListsExpired(w.clock()),
			Slots:             []SlotHandover{{Slot: c.Slot}},
		}
		deliver := func() {
			to.owner.OnHandover(w.clock(), h)
			w.update(to)
		}
		w.record(deliver)
		if w.now >= to.frozenUntil {
			deliver()
		}
	}
}

// check requires that no slot has two holders.
func (w *simulation) check() {
	type key struct {
		zone string
		slot int
	}
	holders := make(map[key]string)
	for _, p := range w.running {
		if w.clock().Reached(p.owner.heldUntil) {
			continue
		}
		for i := range SlotsPerZone {
			if !p.owner.Holds(i) {
				continue
			}
			k := key{zone: p.vm.Zone, slot: i}
			if other := holders[k]; other != "" && w.failure == "" {
				w.failure = fmt.Sprintf("%s and %s both hold %s/%d at %v", other, p.vm.ID, k.zone, i, w.now)
			}
			holders[k] = p.vm.ID
		}
	}
}

// inject injects a fault. It keeps the platform's rule of docs/design/quota.md:
// a settled VM of the zone stays in its list.
func (w *simulation) inject(kind fault, pick func(n int) int) {
	p := w.running[pick(len(w.running))]
	switch kind {
	case crash:
		w.replace(p, false)
	case drop:
		w.replace(p, true)
	case partition:
		p.partition = pick(3)
	case stale:
		p.maxRevision = p.knownRevision
	case freeze:
		p.frozenUntil = w.now + time.Duration(pick(60))*time.Second/4
	case heal:
		for _, q := range w.running {
			q.partition, q.maxRevision, q.unreachable = 0, 0, ""
		}
	case replay:
		if len(w.replayable) > 0 {
			w.replayable[len(w.replayable)-1-pick(min(len(w.replayable), 200))]()
		}
	case disconnectPair:
		p.unreachable = w.zonePeer(p, pick).vm.ID
		w.run(time.Duration(pick(400)) * step)
	case markLeaving:
		w.toggleLeaving(p)
	case leave:
		w.handOver(p, p.owner.Leave(w.clock()))
		w.replace(p, true)
	}
	w.run(time.Duration(pick(40)) * step)
}

// zonePeer picks a process of the same zone.
func (w *simulation) zonePeer(p *process, pick func(n int) int) *process {
	var peers []*process
	for _, q := range w.running {
		if q.vm.Zone == p.vm.Zone {
			peers = append(peers, q)
		}
	}
	return peers[pick(len(peers))]
}

// toggleLeaving lists the VM as leaving, or as no longer leaving.
func (w *simulation) toggleLeaving(p *process) {
	vms := append([]membership.VM(nil), w.newest().VMs...)
	for i := range vms {
		if vms[i].ID == p.vm.ID {
			vms[i].Leaving = !vms[i].Leaving
		}
	}
	w.publish(vms)
}

// replace lists a new VM in place of another, which may continue to run.
func (w *simulation) replace(p *process, runsOn bool) {
	vms := append([]membership.VM(nil), w.newest().VMs...)
	keepsSettled, at := false, -1
	for i, vm := range vms {
		q := w.find(vm.ID)
		if vm.ID == p.vm.ID {
			at = i
		} else if q != nil && vm.Zone == p.vm.Zone && q.owner.Settled() {
			keepsSettled = true
		}
	}
	if at < 0 || !keepsSettled {
		return
	}
	w.nextID++
	vms[at] = membership.VM{ID: fmt.Sprintf("vm-%d", w.nextID), Zone: p.vm.Zone}
	w.publish(vms)
	w.start(vms[at])
	if runsOn {
		return
	}
	for i, q := range w.running {
		if q == p {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
	}
}

func TestRapidOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(nil)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			kind := fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
			w.inject(kind, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
			if w.failure != "" {
				t.Fatal(w.failure)
			}
		}
	})
}

// TestRapidOneHolderNeedsItsRules requires the check of TestRapidOneHolder to
// fail for each rule that is disabled.
func TestRapidOneHolderNeedsItsRules(t *testing.T) {
	all := []fault{crash, drop, partition, stale, freeze, heal, replay, disconnectPair, leave, markLeaving}
	type rule struct {
		faults    []fault
		breakRule func(o *Owner, now membership.ClockReading)
	}
	for name, v := range map[string]rule{
		"NoHoldDown": {all, func(o *Owner, _ membership.ClockReading) {
			o.listKnown, o.olderListWait = o.list != nil, 0
		}},
		"NotAnnounced": {all, func(o *Owner, now membership.ClockReading) {
			o.settledAt = membership.ClockReading{Mono: now.Mono - DrainTerm}
		}},
		"NoSupport": {[]fault{drop, partition, stale}, func(o *Owner, now membership.ClockReading) {
			for _, e := range o.peers {
				e.supports, e.supportProbeAt = true, now
			}
		}},
		"OldWordOfBetterCandidates": {[]fault{drop, disconnectPair, heal}, func(o *Owner, now membership.ClockReading) {
			for _, e := range o.peers {
				if !e.settled {
					e.answeredProbeAt = now
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(40) {
				r := rand.New(rand.NewPCG(seed, 3))
				w := newSimulation(v.breakRule)
				for range 40 {
					if w.failure == "" {
						w.inject(v.faults[r.IntN(len(v.faults))], r.IntN)
					}
				}
				if w.failure != "" {
					t.Logf("seed %d: %s", seed, w.failure)
					return
				}
			}
			t.Fatal("no run had two holders")
		})
	}
}

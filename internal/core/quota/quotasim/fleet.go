// Package quotasim runs a small fleet of quota managers on a virtual clock, with
// a simulated network and a simulated list of VMs, for tests and measurements of
// the quota package. It isn't part of the product.
package quotasim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
)

// Epoch is the wall time at which the virtual clock is zero.
var Epoch = time.Unix(1_700_000_000, 0)

const (
	pollInterval = 500 * time.Millisecond
	rpcTimeout   = 250 * time.Millisecond
)

// Daemon is a process of the fleet. The product's is *quota.Manager; tests
// replace it with incorrect variants.
type Daemon interface {
	Admit(now time.Time, customer string) quota.Decision
	RetryAdmit(now time.Time, customer string) quota.Decision
	OnCatalog(now time.Time, c *catalog.Catalog) []quota.Action
	OnList(now time.Time, list *membership.List, confirmedAt time.Time) []quota.Action
	Tick(now time.Time) []quota.Action
	Fetch(now time.Time) []quota.Action
	OnDigest(now, sentAt time.Time, d quota.Digest) []quota.Action
	OnProbe(now time.Time, from quota.Digest) (quota.Digest, []quota.Action)
	OnLend(now time.Time, r quota.LendRequest) (quota.LendResponse, []quota.Action)
	OnLendResponse(now time.Time, lender string, r quota.LendResponse) []quota.Action
	OnLendFailed(now time.Time, lender string, id uint64)
	OnRelease(now time.Time, r quota.Release) []quota.Action
	OnHandover(now time.Time, h lease.Handover) []quota.Action
	Leave(now time.Time) []quota.Action
	Digest() quota.Digest
	List() *membership.List
}

// Node is one process on a VM.
type Node struct {
	VM     membership.VM
	Daemon Daemon
	Dead   bool
	// FrozenUntil is the time until which the process handles no event.
	FrozenUntil time.Duration
	// Partition is the side of a network partition that the VM is on.
	Partition int
	// Unreachable is the ID of a VM that this one can't exchange messages with.
	Unreachable string
	// PlatformDown reports whether the VM can't read the list and the catalog.
	PlatformDown bool
	// MaxRevision is the newest list revision that the VM's replica of the
	// platform returns; 0 means no bound.
	MaxRevision uint64

	wallOffset    time.Duration
	monoStopped   time.Duration
	configVersion uint64
}

// Network configures the delivery of messages.
type Network struct {
	MinDelay, MaxDelay time.Duration
	// Loss, Duplicate and ExtraDelay are probabilities for each message. A
	// message with an extra delay takes up to MaxExtraDelay.
	Loss, Duplicate, ExtraDelay float64
	MaxExtraDelay               time.Duration
}

// Fleet simulates VMs, the network and the platform. It is not safe for
// concurrent use.
type Fleet struct {
	Now     time.Duration
	Rand    *rand.Rand
	Net     Network
	ListLag time.Duration
	Nodes   []*Node
	// New creates the process on a VM.
	New func(p quota.Params) Daemon
	// Messages and Events count sent messages and handled events.
	Messages, Events int
	// OnAction, if set, is called with every action of every node.
	OnAction func(n *Node, a quota.Action)

	queue       events
	sequence    int
	incarnation uint64
	lists       []publishedList
	catalogs    []*catalog.Catalog
}

type publishedList struct {
	at   time.Duration
	list *membership.List
}

type event struct {
	at       time.Duration
	sequence int
	node     *Node
	run      func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// NewFleet returns an empty fleet.
func NewFleet(seed uint64) *Fleet {
	return &Fleet{
		Rand:    rand.New(rand.NewPCG(seed, 1)),
		Net:     Network{MinDelay: 250 * time.Microsecond, MaxDelay: 2 * time.Millisecond},
		ListLag: time.Second,
		New:     func(p quota.Params) Daemon { return quota.New(p) },
	}
}

// Time returns the virtual time.
func (f *Fleet) Time() time.Time { return Epoch.Add(f.Now) }

// After runs fn after d. A nil node means that fn belongs to the simulation and
// always runs.
func (f *Fleet) After(d time.Duration, n *Node, fn func()) {
	f.sequence++
	heap.Push(&f.queue, event{at: f.Now + d, sequence: f.sequence, node: n, run: fn})
}

// Run handles events until the given time.
func (f *Fleet) Run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.Now = max(f.Now, e.at)
		if e.node != nil && e.node.Dead {
			continue
		}
		if e.node != nil && e.node.FrozenUntil > f.Now {
			f.After(e.node.FrozenUntil-f.Now, e.node, e.run)
			continue
		}
		f.Events++
		e.run()
	}
	f.Now = until
}

// Start starts a new process on a VM and returns it.
func (f *Fleet) Start(vm membership.VM) *Node {
	f.incarnation++
	n := &Node{VM: vm}
	n.Daemon = f.New(quota.Params{
		Self:        vm,
		Incarnation: f.incarnation,
		Started:     f.Time(),
		Clock:       n.clock,
	})
	f.Nodes = append(f.Nodes, n)
	f.After(f.jitter(quota.TickInterval), n, func() { f.tick(n) })
	f.After(f.jitter(pollInterval), n, func() { f.poll(n) })
	return n
}

func (n *Node) clock(now time.Time) membership.ClockReading {
	d := now.Sub(Epoch)
	return membership.ClockReading{Mono: d - n.monoStopped, Wall: d + n.wallOffset}
}

// StepWallClock moves the wall clock of a node forward or back.
func (n *Node) StepWallClock(by time.Duration) { n.wallOffset += by }

// Freeze suspends a process. With stopped, its monotonic clock stops too.
func (f *Fleet) Freeze(n *Node, d time.Duration, stopped bool) {
	if n.FrozenUntil > f.Now {
		return
	}
	n.FrozenUntil = f.Now + d
	if stopped {
		n.monoStopped += d
	}
}

// Kill ends a process without warning.
func (f *Fleet) Kill(n *Node) {
	n.Dead = true
	f.Nodes = slices.DeleteFunc(f.Nodes, func(o *Node) bool { return o == n })
}

// Node returns the process on the VM, or nil.
func (f *Fleet) Node(id string) *Node {
	for _, n := range f.Nodes {
		if n.VM.ID == id {
			return n
		}
	}
	return nil
}

func (f *Fleet) jitter(d time.Duration) time.Duration {
	return time.Duration(f.Rand.Int64N(int64(d)))
}

// PublishList makes the platform list the given VMs.
func (f *Fleet) PublishList(vms []membership.VM) *membership.List {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b membership.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	list := &membership.List{Revision: uint64(len(f.lists) + 1), VMs: sorted}
	f.lists = append(f.lists, publishedList{at: f.Now, list: list})
	return list
}

// PublishCatalog makes the platform return the catalog.
func (f *Fleet) PublishCatalog(customers []catalog.Customer, zones []string) {
	c := &catalog.Catalog{
		Version:   uint64(len(f.catalogs) + 1),
		Customers: make(map[string]*catalog.Customer),
		Zones:     make(map[string]*catalog.Zone),
	}
	for i := range customers {
		c.Customers[customers[i].Name] = &customers[i]
	}
	for _, z := range zones {
		c.Zones[z] = &catalog.Zone{Name: z}
	}
	f.catalogs = append(f.catalogs, c)
}

func (f *Fleet) tick(n *Node) {
	f.act(n, n.Daemon.Tick(f.Time()))
	f.After(quota.TickInterval, n, func() { f.tick(n) })
}

// poll reads the list and the catalog from the node's replica of the platform.
func (f *Fleet) poll(n *Node) {
	f.After(pollInterval, n, func() { f.poll(n) })
	if n.PlatformDown {
		return
	}
	var visible *membership.List
	for _, p := range f.lists {
		if p.at+f.ListLag <= f.Now && (n.MaxRevision == 0 || p.list.Revision <= n.MaxRevision) {
			visible = p.list
		}
	}
	if len(f.lists) > 0 && f.lists[0].at == 0 && visible == nil {
		visible = f.lists[0].list
	}
	if visible != nil {
		f.act(n, n.Daemon.OnList(f.Time(), visible, f.Time()))
	}
	if len(f.catalogs) > 0 {
		f.configure(n, f.catalogs[len(f.catalogs)-1])
	}
}

func (f *Fleet) configure(n *Node, c *catalog.Catalog) {
	if c.Version > n.configVersion {
		n.configVersion = c.Version
		f.act(n, n.Daemon.OnCatalog(f.Time(), c))
	}
}

// NineVMs returns the VMs of a fleet of nine in four zones.
func NineVMs() []membership.VM {
	zones := []string{"a", "a", "a", "b", "b", "c", "c", "d", "d"}
	vms := make([]membership.VM, len(zones))
	for i, z := range zones {
		vms[i] = membership.VM{ID: fmt.Sprintf("vm-%d", i+1), Zone: z}
	}
	return vms
}

// FourZones are the zones of Nine.
func FourZones() []string { return []string{"a", "b", "c", "d"} }

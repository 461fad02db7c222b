package dissemination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// BenchmarkListChange reports, for the addition of one VM to the list, the time
// until all daemons have the list, and the messages and whole lists that each
// daemon sends for it.
func BenchmarkListChange(b *testing.B) {
	for _, c := range []struct{ zones, size int }{{4, 10}, {4, 100}, {20, 500}, {20, 1000}, {20, 2100}} {
		b.Run(fmt.Sprintf("daemons=%d", c.size), func(b *testing.B) {
			for b.Loop() {
				measureListChange(b, c.zones, c.size)
			}
		})
	}
}

func measureListChange(b *testing.B, zones, size int) {
	const idleTime = 5 * time.Second
	f := largeFleet(1, zones, size)
	f.latency = 2 * time.Millisecond
	f.clock.run(settleTime, nil)
	before := f.total()
	f.clock.run(idleTime, nil)
	idle := f.total().minus(before)

	before = f.total()
	at := f.clock.now
	var vms []membership.VM
	for _, n := range f.nodes {
		vms = append(vms, n.vm)
	}
	f.platform.setList(append(vms, membership.VM{ID: "vm-new", Zone: "z00", PeerAddress: "vm-new:1"}))
	revision := f.nodes[0].disseminator.List().Revision + 1
	if !f.clock.run(time.Minute, func() bool { return f.allHaveList(revision) }) {
		b.Fatal("not all daemons have the list")
	}
	took := f.clock.now.Sub(at)
	f.clock.run(idleTime-took, nil)
	change := f.total().minus(before).minus(idle)
	lists := float64(change.bytes-digestBytes*change.sent) / float64(vmBytes*(size+1))
	b.ReportMetric(float64(took.Milliseconds()), "ms-to-all")
	b.ReportMetric(float64(change.sent)/float64(size), "msgs/daemon/change")
	b.ReportMetric(lists/float64(size), "lists/daemon/change")
}

// allHaveList reports whether every running daemon has at least the given revision
// of the list.
func (f *fleet) allHaveList(revision uint64) bool {
	for _, n := range f.nodes {
		if n.up && (n.disseminator.List() == nil || n.disseminator.List().Revision < revision) {
			return false
		}
	}
	return true
}

func capacityList(revision uint64, size int) *membership.List {
	list := &membership.List{Revision: revision}
	for i := range size {
		id := fmt.Sprintf("vm-%04d", i)
		list.VMs = append(list.VMs, membership.VM{ID: id, Zone: fmt.Sprintf("z%02d", i%20), PeerAddress: id + ":1"})
	}
	return list
}

// BenchmarkAdoptList measures the adoption of a new list from a peer.
func BenchmarkAdoptList(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			s := New(Settings{Self: capacityList(1, 1).VMs[0]}, rand.New(rand.NewPCG(1, 2)))
			revision := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				revision++
				list := capacityList(revision, size)
				b.StartTimer()
				s.OnPeerAnswer(now, 0, "vm-0001", Digest{ListRevision: revision, ListAge: time.Second}, list)
			}
		})
	}
}

// BenchmarkTick measures a tick of a serving daemon whose peers don't respond.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", size), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			s := New(Settings{Self: capacityList(1, 1).VMs[0]}, rand.New(rand.NewPCG(1, 2)))
			s.OnPeerAnswer(now, 0, "vm-0001", Digest{ListRevision: 1, ListAge: time.Second}, capacityList(1, size))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(TickInterval)
				s.Tick(now)
			}
		})
	}
}

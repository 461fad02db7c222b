package dissemination

import (
	"fmt"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

// readsBound returns the number of reads in one second that the limits of the
// readers of the given zones permit, plus a few by the other daemons.
func readsBound(zones int) int {
	perSecond := int(time.Second / minWatchInterval)
	return zones * (readersPerZone*(2*perSecond+fetchRate) + 4)
}

// largeFleet starts all daemons at once. They know three seeds.
func largeFleet(seed uint64, zones, size int) *fleet {
	f := newFleet(seed, zones, 0)
	for _, i := range []int{0, 1, 2} {
		f.seeds = append(f.seeds, membership.VM{PeerAddress: fmt.Sprintf("vm-%04d:1", i)})
	}
	for i := range size {
		f.add(fmt.Sprintf("vm-%04d", i), fmt.Sprintf("z%02d", i%zones))
	}
	f.publishList()
	f.platform.publish("10-a.json", customerFile("a", 1))
	return f
}

// TestReadsDontGrow requires that the number of platform reads per second doesn't
// grow with the fleet, while all daemons start at once and the platform fails and
// recovers.
func TestReadsDontGrow(t *testing.T) {
	const zones = 4
	run := func(size int, tamper func(*Disseminator)) int {
		f := largeFleet(7, zones, size)
		f.tamper = tamper
		f.clock.run(20*time.Second, nil)
		f.platform.down = true
		f.clock.run(20*time.Second, nil)
		f.platform.down = false
		f.clock.run(20*time.Second, nil)
		if !f.agree() {
			t.Errorf("%d daemons don't agree", size)
		}
		return f.platform.peakReadsPerSecond()
	}
	bound := readsBound(zones)
	for _, size := range []int{12, 60, 240} {
		most := run(size, nil)
		t.Logf("%d daemons: at most %d reads a second, bound %d", size, most, bound)
		if most > bound {
			t.Errorf("%d daemons read %d times in a second, bound %d", size, most, bound)
		}
	}
	allReaders := func(s *Disseminator) { s.topology.readers = []string{s.self.ID} }
	if most := run(240, allReaders); most <= bound {
		t.Errorf("%d reads in a second although every daemon is a reader: this test proves nothing", most)
	}
}

// TestSameSeedSameRun requires that a run depends only on its seed.
func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		f := largeFleet(8, 3, 30)
		f.loss, f.repeats = 0.2, 0.2
		f.clock.run(10*time.Second, nil)
		out := fmt.Sprint(f.platform.reads)
		for _, n := range f.nodes {
			out += fmt.Sprint(n.disseminator.Counts(), n.sent)
		}
		return out
	}
	if a, b := run(), run(); a != b {
		t.Fatalf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}

// BenchmarkSpread reports, for a change of one file, the time until all daemons
// have it, and the messages and bytes that each daemon sends, both when idle and
// for the change. Each metric is the maximum over three seeds. In the faulty case,
// one message in twenty is lost and one daemon in twenty is dead but listed.
func BenchmarkSpread(b *testing.B) {
	for _, c := range []struct{ zones, size int }{{4, 10}, {4, 100}, {20, 1000}, {20, 2100}} {
		b.Run(fmt.Sprintf("daemons=%d", c.size), func(b *testing.B) {
			for b.Loop() {
				worst := make(map[string]float64)
				for seed := range uint64(3) {
					measure(b, seed, c.zones, c.size, worst)
				}
				for unit, value := range worst {
					b.ReportMetric(value, unit)
				}
			}
		})
	}
}

func measure(b *testing.B, seed uint64, zones, size int, worst map[string]float64) {
	const idleTime = 10 * time.Second
	record := func(value float64, unit string) { worst[unit] = max(worst[unit], value) }
	f := largeFleet(seed, zones, size)
	f.latency = 2 * time.Millisecond
	f.clock.run(settleTime, nil)
	record(float64(f.platform.peakReadsPerSecond()), "reads/s-start")

	before := f.total()
	reads := f.platform.reads
	f.clock.run(idleTime, nil)
	idle := f.total().minus(before)
	record(float64(f.platform.reads-reads)/idleTime.Seconds(), "reads/s")
	record(float64(idle.sent)/float64(size)/idleTime.Seconds(), "msgs/daemon/s")
	record(float64(idle.bytes)/float64(size)/idleTime.Seconds(), "B/daemon/s")
	record(f.oldestList().Seconds(), "s-list-age")
	record(float64(f.fallbacks()), "fallbacks")

	before = f.total()
	at := f.clock.now
	version := f.platform.publish("20-b.json", customerFile("b", 1))
	if !f.clock.run(time.Minute, func() bool { return f.converged(version) }) {
		b.Fatal("not active on all daemons")
	}
	record(float64(f.clock.now.Sub(at).Milliseconds()), "ms-to-all")
	f.clock.run(idleTime-f.clock.now.Sub(at), nil)
	change := f.total().minus(before).minus(idle)
	record(float64(change.sent)/float64(size), "msgs/daemon/change")
	record(float64(change.bytes)/float64(size), "B/daemon/change")
	record(float64(change.busiest), "msgs/busiest/change")

	f.loss = 0.05
	for range size / 20 {
		f.stop(f.nodes[f.rng.IntN(size)])
	}
	at = f.clock.now
	version = f.platform.publish("20-b.json", customerFile("b", 2))
	if !f.clock.run(time.Minute, func() bool { return f.converged(version) }) {
		b.Fatal("not active on all daemons under faults")
	}
	record(float64(f.clock.now.Sub(at).Milliseconds()), "ms-to-all-faulty")
}

// oldestList returns the maximum age of a VM list on any daemon, sampled for five
// seconds.
func (f *fleet) oldestList() time.Duration {
	oldest := time.Duration(0)
	for range 50 {
		f.clock.run(100*time.Millisecond, nil)
		for _, n := range f.nodes {
			age, _ := n.disseminator.ListAge(f.clock.now)
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func (f *fleet) fallbacks() uint64 {
	var sum uint64
	for _, n := range f.nodes {
		sum += n.disseminator.Counts().Fallbacks
	}
	return sum
}

// traffic is the number of messages and bytes sent by daemons.
type traffic struct {
	sent, bytes, busiest int
	each                 map[*node]int
}

func (f *fleet) total() traffic {
	t := traffic{each: make(map[*node]int)}
	for _, n := range f.nodes {
		t.sent += n.sent
		t.bytes += n.bytes
		t.each[n] = n.sent
	}
	return t
}

func (t traffic) minus(before traffic) traffic {
	out := traffic{sent: t.sent - before.sent, bytes: t.bytes - before.bytes, each: make(map[*node]int)}
	for n, sent := range t.each {
		out.each[n] = sent - before.each[n]
		out.busiest = max(out.busiest, out.each[n])
	}
	return out
}

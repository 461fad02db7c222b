package fleet

import (
	"slices"
	"time"
)

const (
	// vmsPerExecutor is the number of VMs of a zone for each executor, and
	// minExecutors the least number of executors of a zone, so that one may fail.
	vmsPerExecutor = 16
	minExecutors   = 2
	// minExecutorCPU is the least processor share of an executor, as a fraction of
	// the largest in the fleet.
	minExecutorCPU = 0.5
	// maxExecutorSilence is the age of its last report from which a VM isn't chosen as
	// an executor. It exceeds the time that reports take over relays.
	maxExecutorSilence = 3 * time.Second
)

// Executors returns the VMs that run queries over many shards for the others, by zone:
// those with the most processor time. It returns nil in a small fleet, where each VM
// runs its own queries. VMs with different members may choose differently. A VM with a
// failed exchange stays, since the sender of a query notices soon that it isn't
// accepted.
func (t *Table) Executors(now time.Duration) map[string][]string {
	if !t.isLarge() {
		return nil
	}
	largest := t.self.CPUShare
	vms := t.ZoneSizes()
	for _, m := range t.members {
		largest = max(largest, m.report.CPUShare)
	}
	candidates := map[string][]Report{}
	add := func(r Report) {
		if r.CPUShare > 0 && r.CPUShare >= minExecutorCPU*largest && r.acceptsRequests() {
			candidates[r.Zone] = append(candidates[r.Zone], r)
		}
	}
	add(t.self)
	for _, m := range t.members {
		if now-m.report.At <= maxExecutorSilence {
			add(m.report)
		}
	}
	out := map[string][]string{}
	for zone, list := range candidates {
		n := max(minExecutors, (vms[zone]+vmsPerExecutor-1)/vmsPerExecutor)
		out[zone] = mostCPU(list, n)
	}
	return out
}

// acceptsRequests reports whether the VM runs requests of other VMs.
func (r *Report) acceptsRequests() bool { return !r.Leaving && !r.Draining && !r.Isolated }

// ZoneSize returns the number of other VMs in this VM's zone.
func (t *Table) ZoneSize() int {
	n := 0
	for _, m := range t.members {
		if m.report.Zone == t.self.Zone {
			n++
		}
	}
	return n
}

// ZoneSizes returns the number of known VMs of each zone, with this one.
func (t *Table) ZoneSizes() map[string]int {
	out := map[string]int{t.self.Zone: 1}
	for _, m := range t.members {
		out[m.report.Zone]++
	}
	return out
}

// maxHelperSilence is the age of its last report from which a VM of a small fleet, in
// which reports take no relay, isn't asked for help.
const maxHelperSilence = time.Second

// Helpers returns the other VMs that may run requests for this one while it reaches no
// upstream, by zone. It excludes those without a recent report.
func (t *Table) Helpers(now time.Duration) map[string][]string {
	silence := maxHelperSilence
	if t.isLarge() {
		silence = maxExecutorSilence
	}
	out := map[string][]string{}
	for addr, m := range t.members {
		if m.report.acceptsRequests() && now-m.report.At <= silence {
			out[m.report.Zone] = append(out[m.report.Zone], addr)
		}
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

package soak

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

const (
	// faultOneIn is the mean number of steps between two faults.
	faultOneIn = 40
	// changeOneIn is the mean number of steps between two changes by operators.
	changeOneIn = 80
	// snapshotRolloutTime is the time within which the upstreams switch to a new
	// snapshot.
	snapshotRolloutTime = 2 * time.Second
	// shutdownStepTime is the time from quota.Leave to quota.Close, and from there
	// to the end of the VM.
	shutdownStepTime = 600 * time.Millisecond
)

// randomDuration returns a random duration from low to high.
func (w *world) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// injectRandomFault injects one fault.
func (w *world) injectRandomFault() {
	switch w.rng.IntN(9) {
	case 0:
		w.killVM()
	case 1:
		w.replaceVM()
	case 2:
		w.freezeVM()
	case 3:
		w.partition()
	case 4:
		w.injectFault(w.randomDuration(time.Second, 10*time.Second), func() { w.platform.down = true }, func() { w.platform.down = false })
	case 5:
		w.injectFault(w.randomDuration(time.Second, 10*time.Second), func() { w.platform.stale = true }, func() { w.platform.stale = false })
	case 6:
		w.injectFault(w.randomDuration(time.Second, 5*time.Second), func() { w.lossProbability, w.duplicateProbability = 0.2, 0.2 }, func() { w.lossProbability, w.duplicateProbability = 0, 0 })
	case 7:
		w.crashUpstream()
	case 8:
		w.drainUpstream()
	}
}

func (w *world) anyVM() *vm {
	for range 100 {
		if v := w.vms[w.rng.IntN(len(w.vms))]; v.up {
			return v
		}
	}
	return nil
}

// killVM stops a VM without notice. The VM list contains it until the next list is
// published, at the latest when its replacement starts.
func (w *world) killVM() {
	v := w.anyVM()
	if v == nil {
		return
	}
	w.injectFault(w.randomDuration(500*time.Millisecond, 3*time.Second), func() { v.up = false }, func() { w.addVM(v.self.Zone) })
}

// replaceVM shuts a VM down gracefully and adds another one in its zone.
func (w *world) replaceVM() {
	v := w.anyVM()
	if v == nil || w.clock.Now().Before(v.frozenUntil) {
		return
	}
	v.runQuotaActions(v.quota.Leave(w.clock.Now()))
	w.clock.After(shutdownStepTime, func() {
		v.run(func() { v.runQuotaActions(v.quota.Close(w.clock.Now())) })
	})
	w.clock.After(2*shutdownStepTime, func() {
		v.up = false
		w.addVM(v.self.Zone)
	})
}

func (w *world) freezeVM() {
	v := w.anyVM()
	if v == nil {
		return
	}
	d := w.randomDuration(100*time.Millisecond, 10*time.Second)
	w.injectFault(d, func() { v.frozenUntil = w.clock.Now().Add(d) }, func() {})
}

// partition separates two zones, or a zone from the platform.
func (w *world) partition() {
	a := zones[w.rng.IntN(len(zones))]
	b := append([]string{platformZone}, zones...)[w.rng.IntN(len(zones)+1)]
	if a == b || w.partitioned(a, b) {
		return
	}
	w.injectFault(w.randomDuration(500*time.Millisecond, 10*time.Second), func() { w.partitions[zonePair(a, b)] = true }, func() { delete(w.partitions, zonePair(a, b)) })
}

// crashUpstream crashes an upstream, so that its connections are lost. It is cold
// after the restart.
func (w *world) crashUpstream() {
	u := w.upstreams[w.upstreamIDs[w.rng.IntN(len(w.upstreamIDs))]]
	if !u.up {
		return
	}
	u.crash()
	w.dropAllConnections(u)
	w.clock.After(w.randomDuration(50*time.Millisecond, 3*time.Second), u.start)
}

// dropAllConnections drops the connections of every VM to the upstream.
func (w *world) dropAllConnections(u *upstream) {
	for _, v := range w.vms {
		w.clock.After(w.latency(), func() { v.run(func() { w.dropConnections(v, u) }) })
	}
}

// drainUpstream makes an upstream report that it is draining for a while. The
// configuration doesn't change.
func (w *world) drainUpstream() {
	u := w.upstreams[w.upstreamIDs[w.rng.IntN(len(w.upstreamIDs))]]
	u.draining = true
	w.clock.After(w.randomDuration(time.Second, 5*time.Second), func() { u.draining = false })
}

// makeRandomChange makes one change that operators would make.
func (w *world) makeRandomChange() {
	switch w.rng.IntN(5) {
	case 0:
		w.toggleZone()
	case 1:
		w.rotateKey()
	case 2:
		w.publishSnapshot()
	case 3:
		w.publishBrokenFile()
	case 4:
		w.publishBurst()
	}
}

func (w *world) toggleZone() {
	zone := zones[w.rng.IntN(len(zones))]
	_, out := w.zoneOutAt[zone]
	if !out && len(w.zoneOutAt) > 0 {
		return // operators take one zone out at a time
	}
	w.platform.publish(map[string]string{"30-" + zone + ".json": fmt.Sprintf(`{"zones":{%q:{"out":%t}}}`, zone, !out)})
	if out {
		delete(w.zoneOutAt, zone)
		return
	}
	w.zoneOutAt[zone] = w.clock.Now()
}

// rotateKey revokes a customer's key and publishes a new one.
func (w *world) rotateKey() {
	c := w.customers[w.rng.IntN(len(w.customers))]
	w.revokedAt[c.key] = w.clock.Now()
	c.keyNumber++
	c.key = newKey(c.name, c.keyNumber)
	w.platform.publish(map[string]string{c.fileName(): c.fileContent()})
}

// publishSnapshot publishes a new index snapshot, in half of the cases with one
// shard less than shardCount.
func (w *world) publishSnapshot() {
	s := scatter.SnapshotInfo{ID: fmt.Sprintf("s%d", len(w.snapshots)+1), Shards: shardCount - w.rng.IntN(2)}
	w.snapshots[s.ID] = s.Shards
	for _, id := range w.upstreamIDs {
		u := w.upstreams[id]
		if u.service == searchService {
			w.clock.After(w.randomDuration(0, snapshotRolloutTime), func() { u.addSnapshot(s) })
		}
	}
}

// publishBrokenFile publishes an invalid version of a customer's file and corrects
// it later.
func (w *world) publishBrokenFile() {
	c := w.customers[w.rng.IntN(len(w.customers))]
	w.platform.publish(map[string]string{c.fileName(): `{"customers":{`})
	w.clock.After(w.randomDuration(time.Second, 5*time.Second), func() {
		w.platform.publish(map[string]string{c.fileName(): c.fileContent()})
	})
}

// publishBurst publishes three folder versions at the same time: it adds a file,
// rewrites a customer's file and deletes the first file.
func (w *world) publishBurst() {
	c := w.customers[w.rng.IntN(len(w.customers))]
	w.platform.publish(map[string]string{"40-note.json": `{"zones":{"cz-a":{}}}`})
	w.platform.publish(map[string]string{c.fileName(): c.fileContent()})
	w.platform.publish(map[string]string{"40-note.json": ""})
}

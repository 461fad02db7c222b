package soak

import (
	"fmt"
	"time"

	"ryecourse.example/ryecourse/internal/core/scatter"
)

const (
	// faultOneIn is the mean number of steps from one fault to the next.
	faultOneIn = 40
	// changeOneIn is the mean number of steps from one change by operators to
	// the next.
	changeOneIn = 80
	// snapshotSpread is the time within which the leaves take a new snapshot.
	snapshotSpread = 2 * time.Second
	// leaveNotice is the time between the end of a VM's requests and its end.
	leaveNotice = 600 * time.Millisecond
)

// between returns a random duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// fault makes one thing go wrong.
func (w *world) fault() {
	switch w.rng.IntN(9) {
	case 0:
		w.kill()
	case 1:
		w.leave()
	case 2:
		w.freeze()
	case 3:
		w.cut()
	case 4:
		w.trouble(w.between(time.Second, 10*time.Second), func() { w.platform.down = true }, func() { w.platform.down = false })
	case 5:
		w.trouble(w.between(time.Second, 10*time.Second), func() { w.platform.stale = true }, func() { w.platform.stale = false })
	case 6:
		w.trouble(w.between(time.Second, 5*time.Second), func() { w.loss, w.repeat = 0.2, 0.2 }, func() { w.loss, w.repeat = 0, 0 })
	case 7:
		w.crashLeaf()
	case 8:
		w.drainLeaf()
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

// kill ends a VM without a word. The list shows it late, and another VM takes
// its place.
func (w *world) kill() {
	v := w.anyVM()
	if v == nil {
		return
	}
	w.trouble(w.between(500*time.Millisecond, 3*time.Second), func() { v.up = false }, func() { w.addVM(v.self.Zone) })
}

// leave replaces a VM gracefully.
func (w *world) leave() {
	v := w.anyVM()
	if v == nil || w.clock.Now().Before(v.frozenUntil) {
		return
	}
	v.quotaActions(v.quota.Leave(w.clock.Now()))
	w.clock.After(leaveNotice, func() {
		v.run(func() { v.quotaActions(v.quota.Close(w.clock.Now())) })
	})
	w.clock.After(2*leaveNotice, func() {
		v.up = false
		w.addVM(v.self.Zone)
	})
}

func (w *world) freeze() {
	v := w.anyVM()
	if v == nil {
		return
	}
	d := w.between(100*time.Millisecond, 10*time.Second)
	w.trouble(d, func() { v.frozenUntil = w.clock.Now().Add(d) }, func() {})
}

// cut separates two zones, or a zone from the platform.
func (w *world) cut() {
	a := zones[w.rng.IntN(len(zones))]
	b := append([]string{platformZone}, zones...)[w.rng.IntN(len(zones)+1)]
	if a == b || w.isCut(a, b) {
		return
	}
	w.trouble(w.between(500*time.Millisecond, 10*time.Second), func() { w.cuts[pair(a, b)] = true }, func() { delete(w.cuts, pair(a, b)) })
}

// crashLeaf restarts an upstream, which loses its connections and is cold.
func (w *world) crashLeaf() {
	l := w.leaves[w.leafIDs[w.rng.IntN(len(w.leafIDs))]]
	if !l.up {
		return
	}
	l.crash()
	w.endCalls(l)
	w.clock.After(w.between(50*time.Millisecond, 3*time.Second), l.start)
}

// endCalls tells every VM that its connections to the leaf are lost.
func (w *world) endCalls(l *leaf) {
	for _, v := range w.vms {
		w.clock.After(w.latency(), func() { v.run(func() { w.loseConnections(v, l) }) })
	}
}

// drainLeaf lets an upstream leave for a while without a word of operators.
func (w *world) drainLeaf() {
	l := w.leaves[w.leafIDs[w.rng.IntN(len(w.leafIDs))]]
	l.draining = true
	w.clock.After(w.between(time.Second, 5*time.Second), func() { l.draining = false })
}

// change is something that operators do.
func (w *world) change() {
	switch w.rng.IntN(5) {
	case 0:
		w.toggleZone()
	case 1:
		w.rotateKey()
	case 2:
		w.newSnapshot()
	case 3:
		w.brokenFile()
	case 4:
		w.race()
	}
}

func (w *world) toggleZone() {
	zone := zones[w.rng.IntN(len(zones))]
	_, out := w.zoneOut[zone]
	if !out && len(w.zoneOut) > 0 {
		return // operators take one zone out at a time
	}
	w.platform.publish(map[string]string{"30-" + zone + ".json": fmt.Sprintf(`{"zones":{%q:{"out":%t}}}`, zone, !out)})
	if out {
		delete(w.zoneOut, zone)
		return
	}
	w.zoneOut[zone] = w.clock.Now()
}

// rotateKey withdraws a customer's key and gives it another one.
func (w *world) rotateKey() {
	t := w.tenants[w.rng.IntN(len(w.tenants))]
	w.withdrawn[t.key] = w.clock.Now()
	t.keyNumber++
	t.key = newKey(t.name, t.keyNumber)
	w.platform.publish(map[string]string{t.file(): t.config()})
}

// newSnapshot publishes an index, now and then with another number of shards.
func (w *world) newSnapshot() {
	s := scatter.SnapshotInfo{ID: fmt.Sprintf("s%d", len(w.snapshots)+1), Shards: shardCount - w.rng.IntN(2)}
	w.snapshots[s.ID] = s.Shards
	for _, id := range w.leafIDs {
		l := w.leaves[id]
		if l.service == searchName {
			w.clock.After(w.between(0, snapshotSpread), func() { l.take(s) })
		}
	}
}

// brokenFile publishes a broken file beside a good change, and mends it later.
func (w *world) brokenFile() {
	t := w.tenants[w.rng.IntN(len(w.tenants))]
	w.platform.publish(map[string]string{t.file(): `{"customers":{`})
	w.clock.After(w.between(time.Second, 5*time.Second), func() {
		w.platform.publish(map[string]string{t.file(): t.config()})
	})
}

// race publishes two files at once, one of them twice.
func (w *world) race() {
	t := w.tenants[w.rng.IntN(len(w.tenants))]
	w.platform.publish(map[string]string{"40-note.json": `{"zones":{"cz-a":{}}}`})
	w.platform.publish(map[string]string{t.file(): t.config()})
	w.platform.publish(map[string]string{"40-note.json": ""})
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["restarted"] = restarted }

// restarted: the store comes back from a copy that still has a key which was taken away, while the
// machine that the settings name as seed is started again. No request that was sent with the key
// more than revoke_ms after the confirmation may run.
func restarted(w *world) {
	const (
		revokeMs   = 5 * time.Second
		stopAfter  = 1600 * time.Millisecond // all times count from the confirmation
		awayAfter  = 3800 * time.Millisecond
		backAfter  = 4800 * time.Millisecond
		startAfter = 5100 * time.Millisecond
		writeAfter = 6800 * time.Millisecond
		end        = 10 * time.Second
	)
	cfg := func(version int, keys ...string) map[string]any {
		return config{
			version: version, services: []string{"orders"},
			routes:  []map[string]any{route("r-orders", "/orders/", "idempotent", "orders", 4000, 250, 2, false)},
			tenants: []map[string]any{{"name": "miny420", "api_keys": keys, "priority": 1, "rate_per_s": 0, "burst": 0}},
		}.item()
	}
	w.store.put("op/config", cfg(7, "keep", "gone"))
	for i := range 7 {
		w.startLeaf(fmt.Sprintf("i-orders-%d", i), "orders", "zone-a", "127.0.0.1:0", 4, 20*time.Millisecond, 0)
	}
	var mu sync.Mutex
	late := map[string]time.Duration{}
	var ranLate atomic.Int64
	w.rec.onRun = func(lf *leaf, r *http.Request, id string) {
		mu.Lock()
		d, ok := late[id]
		mu.Unlock()
		if ok {
			ranLate.Add(1)
			w.rec.say("late     %s runs at %s, sent %v after the confirmation with the key that was taken away", id, lf.id, d.Round(time.Millisecond))
		}
	}
	for i := range 3 {
		w.newGateway(i)
	}
	seed := gateways[0]
	for _, g := range gateways {
		w.start(g, []*gateway{seed}, true, nil)
	}
	for _, g := range gateways {
		w.awaitReady(g)
	}
	time.Sleep(5 * time.Second)
	copied := w.store.copy()
	time.Sleep(time.Second)
	confirmed := w.store.put("op/config", cfg(8, "keep"))
	w.rec.say("revoked  by version 8")
	at := func(d time.Duration, f func()) { time.AfterFunc(time.Until(confirmed.Add(d)), f) }
	at(stopAfter, func() { w.rec.say("SIGTERM  %s", seed.name); seed.signal(syscall.SIGTERM) })
	if trouble() {
		at(awayAfter, func() { w.rec.say("store    away"); w.store.setMode(storeBusy) })
		at(backAfter, func() {
			w.store.restore(copied)
			w.store.setMode(storeServes)
			w.rec.say("store    back from a copy, %v old", time.Since(confirmed)+time.Second)
		})
		at(writeAfter, func() { w.store.put("op/config", cfg(8, "keep")); w.rec.say("operator writes version 8 again") })
	}
	var restart sync.WaitGroup
	restart.Go(func() {
		<-seed.ended
		time.Sleep(time.Until(confirmed.Add(startAfter)))
		w.start(seed, []*gateway{seed}, false, nil)
	})
	var wg sync.WaitGroup
	var answers [3]sync.Map
	for i := 0; time.Since(confirmed) < end; i++ {
		g, n := gateways[i%3], i%3
		wg.Go(func() {
			c, err := dial(g.front)
			if err != nil {
				return
			}
			defer c.c.Close()
			id := w.newID()
			if d := time.Since(confirmed); d > revokeMs {
				mu.Lock()
				late[id] = d
				mu.Unlock()
			}
			r, err := c.do("GET", host, "/orders/"+id, id, "gone", 4*time.Second, nil)
			w.rec.say("answer   %s by %s: %d %v", id, g.name, r.status, err)
			count, _ := answers[n].LoadOrStore(r.status, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	restart.Wait()
	for n := range answers {
		answers[n].Range(func(status, count any) bool {
			w.rec.say("answers  of %s with status %v: %d", gateways[n].name, status, count.(*atomic.Int64).Load())
			return true
		})
	}
	w.finish(ranLate.Load() > 0, fmt.Sprintf("CONFIG: %d requests ran that were sent over %v after the confirmation that took their key away", ranLate.Load(), revokeMs))
}

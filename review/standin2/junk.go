package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["junk"] = junk }

// junk: another writer leaves entries that can't be read in the store. The configuration that comes
// after them must still be in force in time.
func junk(w *world) {
	const (
		entries       = 30
		entryBytes    = 1 << 20 // platform.value_bytes
		configApplyMs = 3 * time.Second
		load          = 25 * time.Second
	)
	w.store.capped = os.Getenv("CAPPED") != ""
	cfg := func(version int, service string) map[string]any {
		return config{
			version: version, services: []string{"orders", "events"},
			routes: []map[string]any{
				route("r-open", "/open/", "idempotent", service, 4000, 250, 2, true),
				route("r-keyed", "/keyed/", "idempotent", "orders", 4000, 250, 2, false),
			},
			tenants: []map[string]any{{"name": "miny420", "api_keys": []string{"xmibw6kpqk8bdk9eevyx"}, "priority": 1, "rate_per_s": 0, "burst": 0}},
		}.item()
	}
	w.store.put("op/config", cfg(7, "orders"))
	for i := range 7 {
		w.startLeaf(fmt.Sprintf("i-orders-%d", i), "orders", "zone-a", "127.0.0.1:0", 4, 60*time.Millisecond, 0)
	}
	for i := range 4 {
		w.startLeaf(fmt.Sprintf("i-events-%d", i), "events", "zone-a", "127.0.0.1:0", 4, 60*time.Millisecond, 0)
	}
	var mu sync.Mutex
	var confirmed time.Time // of the version that moves the route
	sent := map[string]time.Time{}
	var old, moved, refused, unready atomic.Int64
	w.rec.onRun = func(lf *leaf, r *http.Request, id string) {
		mu.Lock()
		defer mu.Unlock()
		at, open := sent[id]
		if !open || confirmed.IsZero() || at.Sub(confirmed) <= configApplyMs {
			return
		}
		if lf.service == "events" {
			moved.Add(1)
			return
		}
		old.Add(1)
		w.rec.say("old      %s is run by %s, sent %v after the confirmation of the version that moved its route", id, lf.service, at.Sub(confirmed).Round(time.Millisecond))
	}
	for i := range 3 {
		w.newGateway(i)
	}
	for _, g := range gateways {
		w.start(g, gateways, true, nil)
	}
	for _, g := range gateways {
		w.awaitReady(g)
	}
	time.Sleep(6 * time.Second) // longer than contact_ms
	time.AfterFunc(time.Second, func() {
		if trouble() {
			w.rec.say("trouble  another writer leaves %d entries of %d bytes", entries, entryBytes)
			blob := bytes.Repeat([]byte{0x1f, 0x8b, 0xff, 0}, entryBytes/4)
			for i := range entries {
				w.store.put(fmt.Sprintf("servers/other-%d", i), blob)
			}
		}
		at := w.store.put("op/config", cfg(8, "events"))
		mu.Lock()
		confirmed = at
		mu.Unlock()
		w.rec.say("config   version 8 moves the route from orders to events")
	})
	begun := time.Now()
	var wg sync.WaitGroup
	for i := 0; time.Since(begun) < load; i++ {
		g := gateways[i%len(gateways)]
		for _, prefix := range []string{"/open/", "/keyed/"} {
			wg.Go(func() {
				c, err := dial(g.front)
				if err != nil {
					return
				}
				defer c.c.Close()
				id, key := w.newID(), ""
				if prefix == "/keyed/" {
					key = "xmibw6kpqk8bdk9eevyx"
				} else {
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
				}
				r, err := c.do("GET", host, prefix+id, id, key, 4*time.Second, nil)
				w.rec.say("answer   %s %s by %s: %d %v", id, prefix, g.name, r.status, err)
				if prefix == "/keyed/" && r.status == 503 {
					refused.Add(1)
				}
			})
		}
		if i%30 == 0 {
			wg.Go(func() {
				if r, err := http.Get("http://" + g.ready + "/api/readiness"); err == nil {
					r.Body.Close()
					if r.StatusCode != 200 {
						unready.Add(1)
						w.rec.say("unready  %s", g.name)
					}
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
	w.finish(old.Load() > 0, fmt.Sprintf("CONFIG: of the requests sent over %v after the confirmation, %d were run by the old service and %d by the new one; %d requests with a good key were refused with 503, and %d answers to the readiness check were not 200", configApplyMs, old.Load(), moved.Load(), refused.Load(), unready.Load()))
}

package main

import (
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["drill"] = drillCase }

const (
	// revokeBound is bounds.revoke_ms.
	revokeBound = 5 * time.Second
	// copyAge is how much older than the confirmation of the withdrawal the copy is from
	// which the store comes back.
	copyAge = time.Second
	// away is how long the store is away.
	away = time.Second
	// rewritten is how long after the store's return the operator and the leafs have
	// written again what was lost.
	rewritten = 2 * time.Second
	// startDelay is the time between the end of a process and its next start.
	startDelay = 500 * time.Millisecond
)

// drillCase withdraws a key, and then restarts a machine while the store comes back from
// a copy that is older than the withdrawal.
func drillCase(w *world) bool {
	doDrill, doRestart := w.trouble, w.trouble
	switch os.Getenv("ONLY") { // for the two disruptions alone
	case "drill":
		doRestart = false
	case "restart":
		doDrill = false
	}
	const kept, withdrawn = "xmibw6kpqk8bdk9eevyx", "q2yyazax6pwawxdmdejk"
	w.store.put("op/config", config(7, map[string][]string{"miny420": {kept, withdrawn}}))
	for i := range 7 {
		w.leafs = append(w.leafs, w.newLeaf("orders", w.zones[i%2], i+1, 4, 20*time.Millisecond))
	}
	w.heartbeats()
	var mu sync.Mutex
	var confirmedAt time.Time
	sentAt := map[string]time.Time{} // of requests with the withdrawn key
	var early, late, keptServed, keptSent atomic.Int64
	w.onRan = func(l *leaf, r *received) {
		mu.Lock()
		defer mu.Unlock()
		at, ok := sentAt[r.id]
		switch {
		case !ok:
		case confirmedAt.IsZero() || at.Before(confirmedAt.Add(revokeBound)):
			early.Add(1)
		default:
			late.Add(1)
			w.sayf("CONFIG: leaf %s runs request %s, sent %d ms after the confirmation that its key was withdrawn",
				l.id, r.id, at.Sub(confirmedAt).Milliseconds())
		}
	}
	w.addGateways(4)
	w.awaitReady(15 * time.Second)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range 16 {
		key := kept
		if i >= 8 {
			key = withdrawn
		}
		wg.Add(1)
		c := &requester{w: w, g: w.gateways[i%len(w.gateways)]}
		c.onSend = func(id string, at time.Time) {
			if key == withdrawn {
				mu.Lock()
				sentAt[id] = at
				mu.Unlock()
			}
		}
		go func() {
			defer wg.Done()
			for !stop.Load() {
				if !c.g.inRotation() {
					c.close()
					time.Sleep(50 * time.Millisecond)
					continue
				}
				res := c.do(request{method: "GET", host: "hufi27.example", path: "/goka902/2f", key: key, deadline: 4 * time.Second})
				c.logResult(res)
				if key == kept {
					keptSent.Add(1)
					if res.status == 200 {
						keptServed.Add(1)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	older := w.store.copy()
	time.Sleep(copyAge)
	withdrawal := func() int64 { return w.store.put("op/config", config(8, map[string][]string{"miny420": {kept}})) }
	withdrawal()
	mu.Lock()
	confirmedAt = time.Now()
	mu.Unlock()
	w.sayf("the configuration that withdraws a key is confirmed")
	restarted := make(chan struct{})
	go func() {
		defer close(restarted)
		if doRestart {
			time.Sleep(1600 * time.Millisecond)
			g := w.gateways[1]
			w.sayf("%s gets SIGTERM", g.name)
			p, ended := g.process()
			p.Signal(syscall.SIGTERM)
			select {
			case <-ended:
			case <-time.After(6 * time.Second):
				g.kill()
			}
			time.Sleep(startDelay)
			g.start(false)
			w.sayf("%s starts again", g.name)
		}
	}()
	time.Sleep(3800 * time.Millisecond)
	if doDrill {
		w.store.setDown(true)
		w.sayf("the store is away")
		time.Sleep(away)
		w.store.restore(older)
		w.store.setDown(false)
		w.sayf("the store is back from a copy that is %d ms older than the withdrawal", copyAge.Milliseconds())
		time.Sleep(rewritten)
		withdrawal()
		w.sayf("the operator has written the configuration again")
	}
	<-restarted
	time.Sleep(5 * time.Second)
	stop.Store(true)
	wg.Wait()
	w.sayf("withdrawn key: %d requests ran in time, %d too late; valid key: %d of %d served", early.Load(), late.Load(), keptServed.Load(), keptSent.Load())
	if early.Load() == 0 || keptServed.Load() == 0 {
		fail("no request was served")
	}
	return late.Load() == 0
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless"] = endlessCase }

const (
	// endlessPerSecond is how many bytes a second a faulty leaf sends on a connection,
	// far below what the link of a machine carries.
	endlessPerSecond = 4 << 20
	// endlessFor is how long the leafs of a service are faulty at a time, endlessPause the
	// time between, and endlessTimes how often they are.
	endlessFor   = 5 * time.Second
	endlessPause = 2 * time.Second
	endlessTimes = 9
	// lostAllowed is the number of requests from kept connections that may end without an
	// answer by the rule LOST.
	lostAllowed = 3
	// endsAllowed is one less than the number of ends of a process by itself, at each of
	// two machines, at which the day counts for nothing.
	endsAllowed = 2
)

// endless sends bytes that have no end in place of an answer's body, until the caller
// closes the connection.
func endless(l *leaf, c net.Conn, r *received) (handled, closes bool) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Server-Stamp: %s\r\n\r\n", r.id, stampOf(l, r))
	const step = 5 * time.Millisecond
	piece := make([]byte, endlessPerSecond*int(step)/int(time.Second))
	sent, began := 0, time.Now()
	for {
		n, err := c.Write(piece)
		sent += n
		if err != nil {
			l.w.logf("bytes without end request=%s leaf=%s: closed by the caller after %d bytes, %d ms", r.id, l.id, sent, time.Since(began).Milliseconds())
			return true, true
		}
		time.Sleep(step)
	}
}

// endlessCase has the leafs of one service send bytes without end, and watches what
// becomes of the machines and of the requests to another service. The platform kills a
// process that exceeds memory_mb and starts it again.
func endlessCase(w *world) bool {
	const key = "xmibw6kpqk8bdk9eevyx"
	w.store.put("op/config", config(7, map[string][]string{"miny420": {key}}))
	var faulty []*leaf
	for i := range 7 {
		faulty = append(faulty, w.newLeaf("orders", w.zones[i%2], i+1, 4, 60*time.Millisecond))
	}
	w.leafs = append(w.leafs, faulty...)
	for i := range 4 {
		w.leafs = append(w.leafs, w.newLeaf("events", w.zones[i%2], i+1, 4, 120*time.Millisecond))
	}
	w.heartbeats()
	var ranAtSound sync.Map // requests that a sound leaf of the other service has begun to run
	w.onRan = func(l *leaf, r *received) {
		if l.service == "events" {
			ranAtSound.Store(r.id, true)
		}
	}
	w.addGateways(4)
	w.awaitReady(15 * time.Second)
	ends := make([]int, len(w.gateways))
	peak := make([]int, len(w.gateways))
	for i, g := range w.gateways {
		go func() {
			for !w.stopping.Load() {
				mb := g.anonymousMB()
				peak[i] = max(peak[i], mb)
				if mb > memoryMB {
					ends[i]++
					w.sayf("%s exceeds memory_mb: %d MB; the platform kills it, time %d", g.name, mb, ends[i])
					g.restart(500 * time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	var stop atomic.Bool
	var wg sync.WaitGroup
	var lost, orders, events, ordersServed, eventsServed atomic.Int64
	const clients, perSecond = 60, 45
	interval := clients * time.Second / perSecond
	send := func(path string, sent, served *atomic.Int64, count bool) {
		for i := range clients {
			wg.Add(1)
			c := &requester{w: w, g: w.gateways[i%len(w.gateways)]}
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(rand.Float64() * float64(interval)))
				for !stop.Load() {
					began := time.Now()
					res := c.do(request{method: "GET", host: "hufi27.example", path: path, key: key, deadline: 4 * time.Second})
					c.logResult(res)
					sent.Add(1)
					if res.status == 200 {
						served.Add(1)
					}
					if _, ran := ranAtSound.Load(res.id); count && ran && res.status == 0 && res.kept && !res.timedOut {
						lost.Add(1)
						w.sayf("LOST: %s closed the kept connection of request %s, which it had passed on to a sound leaf", c.g.name, res.id)
					}
					time.Sleep(interval - time.Since(began))
				}
			}()
		}
	}
	send("/goka902/2f", &orders, &ordersServed, false)
	send("/events/2f", &events, &eventsServed, true)
	time.Sleep(5 * time.Second)
	for range endlessTimes {
		if w.trouble {
			for _, l := range faulty {
				l.setFault(endless)
			}
			w.sayf("all leafs of the service orders begin to send bytes without end")
		}
		time.Sleep(endlessFor)
		for _, l := range faulty {
			l.setFault(nil)
		}
		time.Sleep(endlessPause)
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	wg.Wait()
	often := 0
	for _, n := range ends {
		if n > endsAllowed {
			often++
		}
	}
	w.sayf("orders: %d of %d served; events: %d of %d served, %d lost", ordersServed.Load(), orders.Load(), eventsServed.Load(), events.Load(), lost.Load())
	w.sayf("ends because of memory, by machine: %v; peak, MB: %v", ends, peak)
	if eventsServed.Load() == 0 {
		fail("no request was served")
	}
	return lost.Load() <= lostAllowed && often < 2
}

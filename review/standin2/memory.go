package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

const (
	memoryLimitMB = 284
	// restartDelay is the short delay after which a process that was killed is started again.
	restartDelay = time.Second
)

// memory: the leafs of one service send bodies without end for some seconds. The gateways must stay
// within their memory, and answer the requests to the other service's leafs, which are sound.
func memory(w *world) {
	w.store.put("op/config", config{
		version: 7, services: []string{"orders", "events"},
		routes: []map[string]any{
			route("r-orders", "/orders/", "idempotent", "orders", 4000, 250, 2, true),
			route("r-events", "/events/", "idempotent", "events", 4000, 250, 2, true),
		},
	}.item())
	var orders []*leaf
	for i := range 7 {
		orders = append(orders, w.startLeaf(fmt.Sprintf("i-orders-%d", i), "orders", "zone-a", "127.0.0.1:0", 4, 60*time.Millisecond, 0))
	}
	for i := range 4 {
		w.startLeaf(fmt.Sprintf("i-events-%d", i), "events", "zone-a", "127.0.0.1:0", 4, 60*time.Millisecond, 0)
	}
	// started holds the requests that a sound leaf runs.
	var mu sync.Mutex
	started := map[string]time.Time{}
	w.rec.onRun = func(lf *leaf, r *http.Request, id string) {
		if lf.service == "events" {
			mu.Lock()
			started[id] = time.Now()
			mu.Unlock()
		}
	}
	troubled := 7
	if v := os.Getenv("TROUBLED"); v != "" {
		troubled, _ = strconv.Atoi(v)
	}
	n := 2
	for i := range n {
		w.newGateway(i)
	}
	for _, g := range gateways {
		w.start(g, gateways, true, nil)
	}
	for _, g := range gateways {
		w.awaitReady(g)
	}
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var enforcing sync.WaitGroup
	for _, g := range gateways {
		enforcing.Go(func() { w.enforceMemory(g, stop) })
	}
	// lost counts requests from kept connections that a sound leaf ran and whose connection was
	// closed without an answer.
	lost := 0
	send := func(g *gateway, prefix string, pool chan *conn) {
		var c *conn
		select {
		case c = <-pool:
		default:
			var err error
			if c, err = dial(g.front); err != nil {
				w.rec.say("refused  by %s: %v", g.name, err)
				return
			}
		}
		id, kept := w.newID(), c.used
		w.rec.say("send     %s %s to %s kept=%v", id, prefix, g.name, kept)
		r, err := c.do("GET", host, prefix+id, id, "", 4*time.Second, nil)
		if err != nil {
			mu.Lock()
			_, ran := started[id]
			w.rec.say("closed   %s without an answer, kept=%v, run by a sound leaf=%v: %v", id, kept, ran, err)
			if kept && ran {
				lost++
			}
			mu.Unlock()
			c.c.Close()
			return
		}
		w.rec.say("answer   %s %d", id, r.status)
		pool <- c
	}
	begun := time.Now()
	pools := make([]chan *conn, n)
	for i := range pools {
		pools[i] = make(chan *conn, 1000)
	}
	const load, troubleAt, troubleFor = 22 * time.Second, 4 * time.Second, 10 * time.Second
	if trouble() {
		time.AfterFunc(troubleAt, func() {
			w.rec.say("trouble  bodies without end at %d leafs of orders", troubled)
			f := w.endlessBody
			for _, lf := range orders[:troubled] {
				lf.trouble.Store(&f)
			}
		})
		time.AfterFunc(troubleAt+troubleFor, func() {
			w.rec.say("trouble  ends")
			for _, lf := range orders {
				lf.trouble.Store(nil)
			}
		})
	}
	var wg sync.WaitGroup
	for i := 0; time.Since(begun) < load; i++ {
		g := gateways[i%n]
		wg.Go(func() { send(g, "/orders/", pools[i%n]) })
		wg.Go(func() { send(g, "/events/", pools[i%n]) })
		time.Sleep(22 * time.Millisecond)
	}
	wg.Wait()
	close(stop)
	enforcing.Wait()
	for _, g := range gateways {
		w.rec.say("memory   %s peak %d MB, killed %d times", g.name, g.peakMB.Load(), g.kills)
		fmt.Println(g.name, "peak", g.peakMB.Load(), "MB, killed", g.kills, "times")
	}
	w.finish(lost > 3, fmt.Sprintf("LOST: %d requests from kept connections were passed on to a sound leaf and their connections closed without an answer (3 allowed)", lost))
}

// endlessBody begins an answer whose body doesn't end until the caller closes.
func (w *world) endlessBody(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Ryecourse-Request-Id")
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Server-Stamp: x.%s\r\nTransfer-Encoding: chunked\r\n\r\nf00000\r\n", id, id)
	b := make([]byte, 4096)
	for {
		if _, err := c.Write(b); err != nil {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// enforceMemory kills a process that exceeds its memory, as the machines do, and starts it again.
func (w *world) enforceMemory(g *gateway, stop chan struct{}) {
	for {
		mb := g.residentMB()
		if mb > g.peakMB.Load() {
			g.peakMB.Store(mb)
		}
		if mb > memoryLimitMB {
			w.rec.say("memory   %s takes %d MB, more than memory_mb=%d: killed", g.name, mb, memoryLimitMB)
			g.kills++
			g.signal(syscall.SIGKILL)
			<-g.ended
			time.Sleep(restartDelay)
			w.launch(g)
		}
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

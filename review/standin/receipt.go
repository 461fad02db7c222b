package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["receipt"] = receiptCase }

const (
	// spoiledShare is the share of the answers that faulty leafs spoil.
	spoiledShare = 0.02
	spoiledFor   = 5 * time.Second
	spoiledTimes = 6
)

// spoiledAnswers are bytes that are no response of a leaf.
var spoiledAnswers = []string{
	// Bytes that are no HTTP.
	"\x16\x03\x01\x00\x05\x07\xffqzx\r\n\r\n",
	// No status code of HTTP.
	"HTTP/1.1 000 \r\n\r\n",
	// The head of the answer is lost but for its first line, and the body is another one.
	"HTTP/1.1 200 OK\r\n\r\nqzx qzx qzx",
}

// spoil sends bytes that are no response in place of a share of the answers, and closes
// the connection.
func spoil(count *atomic.Int64) fault {
	return func(l *leaf, c net.Conn, r *received) (handled, closes bool) {
		if rand.Float64() >= spoiledShare {
			return false, false
		}
		b := spoiledAnswers[rand.IntN(len(spoiledAnswers))]
		count.Add(1)
		l.w.logf("spoiled request=%s leaf=%s bytes=%q", r.id, l.id, b)
		c.Write([]byte(b))
		return true, true
	}
}

// receiptCase has three of seven leafs of a service spoil some of their answers, and
// checks that each success has the receipt and the whole body of a leaf.
func receiptCase(w *world) bool {
	const key = "xmibw6kpqk8bdk9eevyx"
	w.store.put("op/config", config(7, map[string][]string{"miny420": {key}}))
	leafs := map[string]*leaf{}
	for i := range 7 {
		l := w.newLeaf("orders", w.zones[i%2], i+1, 4, 20*time.Millisecond)
		w.leafs = append(w.leafs, l)
		leafs[l.id] = l
	}
	w.heartbeats()
	w.addGateways(4)
	w.awaitReady(15 * time.Second)
	var spoiled, sent, served, broken atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		c := &requester{w: w, g: w.gateways[i%len(w.gateways)]}
		go func() {
			defer wg.Done()
			for !stop.Load() {
				res := c.do(request{method: "GET", host: "hufi27.example", path: "/goka902/2f", key: key, deadline: 4 * time.Second})
				c.logResult(res)
				sent.Add(1)
				if res.status >= 200 && res.status < 300 {
					if why := wrongSuccess(leafs, res); why == "" {
						served.Add(1)
					} else {
						broken.Add(1)
						w.sayf("MIXED: request %s got %d with %s: %q", res.id, res.status, why, res.body)
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for range spoiledTimes {
		if w.trouble {
			w.sayf("three of seven leafs begin to spoil 2 in 100 of their answers")
			for _, l := range w.leafs[:3] {
				l.setFault(spoil(&spoiled))
			}
		}
		time.Sleep(spoiledFor)
		for _, l := range w.leafs {
			l.setFault(nil)
		}
		time.Sleep(time.Second)
	}
	stop.Store(true)
	wg.Wait()
	w.sayf("%d requests, %d served, %d answers spoiled, %d successes that are none", sent.Load(), served.Load(), spoiled.Load(), broken.Load())
	if served.Load() == 0 {
		fail("no request was served")
	}
	return broken.Load() == 0
}

// wrongSuccess returns why a success isn't a leaf's answer to the request; empty if it is.
func wrongSuccess(leafs map[string]*leaf, res result) string {
	stamp := res.header.Get("X-Ryecourse-Server-Stamp")
	if stamp == "" {
		return "no receipt"
	}
	id, request, _ := strings.Cut(stamp, ".")
	l := leafs[id]
	if l == nil || request != res.id {
		return fmt.Sprintf("the receipt %q", stamp)
	}
	if !bytes.Equal(res.body, bodyOf(l, &received{id: res.id})) {
		return "another body"
	}
	return ""
}

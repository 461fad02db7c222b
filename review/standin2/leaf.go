package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// leaf is a stand-in of one leaf. It runs one request at a time on a connection.
type leaf struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	slots   int
	born    int64
	warmup  time.Duration
	// work is how long a request runs.
	work time.Duration
	// trouble replaces the answer of a request if it isn't nil and returns true.
	trouble atomic.Pointer[func(c net.Conn, r *http.Request) bool]

	l        net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	sequence int64
	state    string
	stopped  chan struct{}
	running  chan struct{}
	runs     atomic.Int64
	coldEnd  time.Time
}

// startLeaf starts a leaf. addr is "127.0.0.1:0" for a free port.
func (w *world) startLeaf(id, service, zone, addr string, slots int, work, warmup time.Duration) *leaf {
	lf := &leaf{w: w, id: id, service: service, zone: zone, slots: slots, work: work, warmup: warmup, state: "ready",
		born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, stopped: make(chan struct{}), running: make(chan struct{}, slots)}
	lf.l = listen(addr)
	lf.addr = lf.l.Addr().String()
	lf.coldEnd = time.Now().Add(warmup)
	go lf.accept()
	lf.beat()
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				lf.beat()
			case <-lf.stopped:
				return
			}
		}
	}()
	return lf
}

// beat writes the leaf's entry.
func (lf *leaf) beat() {
	lf.mu.Lock()
	lf.sequence++
	seq, state := lf.sequence, lf.state
	lf.mu.Unlock()
	if lf.w.store.down() {
		return // the write isn't accepted
	}
	lf.w.store.put("servers/"+lf.id, map[string]any{
		"service": lf.service, "address": lf.addr, "zone": lf.zone, "version": "v1", "capacity": lf.slots, "state": state,
		"warmup_ms": max(time.Until(lf.coldEnd).Milliseconds(), 0), "sequence": seq, "born": lf.born,
	})
}

func (s *store) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode != storeServes
}

// crash ends the leaf at once: its listener and all its connections close.
func (lf *leaf) crash() {
	close(lf.stopped)
	lf.l.Close()
	lf.mu.Lock()
	defer lf.mu.Unlock()
	for c := range lf.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (lf *leaf) accept() {
	for {
		c, err := lf.l.Accept()
		if err != nil {
			return
		}
		lf.mu.Lock()
		lf.conns[c] = true
		lf.mu.Unlock()
		go func() {
			lf.serve(c)
			c.Close()
			lf.mu.Lock()
			delete(lf.conns, c)
			lf.mu.Unlock()
		}()
	}
}

func (lf *leaf) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Ryecourse-Request-Id")
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Ryecourse-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", lf.id)
			continue
		}
		if target := r.Header.Get("X-Ryecourse-Target-Instance"); target != "" && target != lf.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, lf.id)
			continue
		}
		if id == "" {
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nX-Ryecourse-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		lf.runs.Add(1)
		lf.w.rec.ran(lf, r, id, body)
		if t := lf.trouble.Load(); t != nil && (*t)(c, r) {
			return
		}
		time.Sleep(lf.work)
		answer := strings.Repeat(fmt.Sprintf("%-16.16s", lf.id+id), 4)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			id, lf.id, id, len(answer), answer); err != nil {
			return
		}
	}
}

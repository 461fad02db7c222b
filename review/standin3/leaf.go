//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// leaf is one instance of a service.
type leaf struct {
	w        *world
	service  string
	id       string
	zone     string
	slots    chan struct{}
	capacity int
	work     time.Duration
	spread   float64 // of the work, which is log-normal and at most six times the mean
	born     int64

	listeners []net.Listener // by machine

	mu         sync.Mutex
	conns      map[net.Conn]int // the machine
	cut        map[int]bool
	state      string
	coldUntil  time.Time
	leaving    bool
	crashed    bool
	admitted   int
	sequence   int
	arrivals   []arrival
	crashAbove int // arrivals in a second from which a cold leaf crashes; 0: never
}

// arrival is a request that reached a leaf and wasn't answered 421.
type arrival struct {
	at   time.Time
	vm   int
	id   string
	cold bool
	ran  bool
}

func (w *world) startLeaf(service string, n int, capacity int, work time.Duration) *leaf {
	l := &leaf{
		w: w, service: service, id: fmt.Sprintf("i-%s-%d", service, n), zone: zoneOf(n), capacity: capacity, work: work,
		born: time.Now().UnixMilli(), slots: make(chan struct{}, capacity), conns: map[net.Conn]int{}, cut: map[int]bool{}, state: "ready",
	}
	if w.coldFor > 0 {
		l.coldUntil = time.Now().Add(w.coldFor)
	}
	for vm := range w.vms {
		nl := w.listen()
		l.listeners = append(l.listeners, nl)
		go l.accept(nl, vm)
	}
	w.store.mu.Lock()
	w.store.leafs["servers/"+l.id] = l
	w.store.mu.Unlock()
	l.announce()
	go func() {
		for !l.isCrashed() {
			time.Sleep(heartbeat)
			if !l.isCrashed() {
				l.announce()
			}
		}
	}()
	return l
}

func (l *leaf) addressFor(vm int) string { return l.listeners[vm].Addr().String() }

func (l *leaf) isCrashed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashed
}

func (l *leaf) announce() bool {
	l.mu.Lock()
	l.sequence++
	entry := map[string]any{
		"service": l.service, "address": l.addressFor(0), "zone": l.zone, "version": "v1", "capacity": l.capacity,
		"state": l.state, "warmup_ms": max(time.Until(l.coldUntil).Milliseconds(), 0), "sequence": l.sequence, "born": l.born,
	}
	l.mu.Unlock()
	return l.w.store.put("servers/"+l.id, entry)
}

// cutVM cuts or restores the links between a machine and the leaf. What is cut hangs.
func (l *leaf) cutVM(vm int, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[vm] = cut
	if !cut {
		return
	}
	for nc, of := range l.conns {
		if of == vm {
			nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
		}
	}
}

func (l *leaf) isCut(vm int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[vm]
}

func (l *leaf) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed {
		return
	}
	l.crashed = true
	for _, nl := range l.listeners {
		nl.Close()
	}
	for nc := range l.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
	time.AfterFunc(3*heartbeat, func() { l.w.store.remove("servers/" + l.id) })
}

func (l *leaf) accept(nl net.Listener, vm int) {
	for {
		nc, err := nl.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		reset := l.cut[vm] || l.crashed
		if !reset {
			l.conns[nc] = vm
		}
		l.mu.Unlock()
		if reset {
			nc.(*net.TCPConn).SetLinger(0)
			nc.Close()
			continue
		}
		go l.serve(nc, vm)
	}
}

func (l *leaf) serve(nc net.Conn, vm int) {
	defer func() {
		l.mu.Lock()
		delete(l.conns, nc)
		l.mu.Unlock()
		nc.Close()
	}()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !l.answer(nc, vm, r) {
			return
		}
	}
}

func (l *leaf) answer(nc net.Conn, vm int, r *http.Request) bool {
	id := r.Header.Get("X-Ryecourse-Request-Id")
	if r.URL.Path == "/health" {
		l.mu.Lock()
		cold := max(time.Until(l.coldUntil).Milliseconds(), 0)
		l.mu.Unlock()
		_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Ryecourse-Instance-Id: %s\r\nX-Ryecourse-Warmup-Remaining: %d\r\nContent-Length: 0\r\n\r\n", l.id, cold)
		return err == nil
	}
	if target := r.Header.Get("X-Ryecourse-Target-Instance"); target != "" && target != l.id {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Ryecourse-Instance-Id: %s\r\nX-Ryecourse-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", l.id, id)
		return err == nil
	}
	now := time.Now()
	l.mu.Lock()
	a := arrival{at: now, vm: vm, id: id, cold: now.Before(l.coldUntil)}
	full := l.admitted >= l.capacity+12
	a.ran = !full
	l.arrivals = append(l.arrivals, a)
	inSecond := 0
	for i := len(l.arrivals) - 1; i >= 0 && now.Sub(l.arrivals[i].at) < time.Second; i-- {
		if l.arrivals[i].cold {
			inSecond++
		}
	}
	crash := a.cold && l.crashAbove > 0 && inSecond > l.crashAbove
	if !full {
		l.admitted++
	}
	extra := fmt.Sprintf("X-Ryecourse-Server-Load: %d,%d,%d\r\n", min(l.admitted, l.capacity), max(l.admitted-l.capacity, 0), l.capacity)
	if l.leaving {
		extra += "Server-Leaving: 1\r\n"
	}
	l.mu.Unlock()
	if crash {
		l.w.logf("leaf %s crashes under %d requests in a second while it is cold", l.id, inSecond)
		l.crash()
		return false
	}
	if full {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 Busy\r\nX-Ryecourse-Not-Executed: 1\r\nX-Ryecourse-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id, extra)
		return err == nil
	}
	l.slots <- struct{}{}
	remaining, err := strconv.ParseFloat(r.Header.Get("X-Ryecourse-Request-Deadline"), 64)
	if err != nil || time.Since(now) < time.Duration(remaining)*time.Millisecond {
		time.Sleep(time.Duration(float64(l.work) * min(math.Exp(l.spread*rand.NormFloat64()-l.spread*l.spread/2), 6)))
	}
	<-l.slots
	l.mu.Lock()
	l.admitted--
	l.mu.Unlock()
	body := "answer of " + l.id + " to " + id
	_, err = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Server-Stamp: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, l.id, id, extra, len(body), body)
	return err == nil
}

// taken returns the arrivals so far.
func (l *leaf) taken() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}

// mostIn returns the largest number of the arrivals in any span of a length, and when it begins.
func mostIn(list []arrival, span time.Duration) (most int, at time.Time) {
	for i, j := 0, 0; i < len(list); i++ {
		for j < len(list) && list[j].at.Sub(list[i].at) < span {
			j++
		}
		if j-i > most {
			most, at = j-i, list[i].at
		}
	}
	return most, at
}

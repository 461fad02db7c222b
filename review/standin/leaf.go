package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// fault is what a faulty leaf does with an answer: it writes to the connection and
// reports whether the connection is then closed. It returns handled = false to answer
// as usual.
type fault func(l *leaf, c net.Conn, r *received) (handled, closes bool)

// received is a request as a leaf got it.
type received struct {
	id, tenant, target, path, method string
	deadline                         time.Duration
	body                             []byte
}

// leaf is a server of a service.
type leaf struct {
	w        *world
	id       string
	service  string
	zone     string
	slots    int
	queue    int
	work     time.Duration
	listener net.Listener
	address  string
	born     int64
	sequence atomic.Int64
	// secondAnswers is set while the leaf sends a copy of some of its answers, late: at the
	// point where the next answer on the connection is expected.
	secondAnswers atomic.Bool
	// hangs is set while the leaf leaves some requests without an answer.
	hangs    atomic.Bool
	maxConns int

	mu      sync.Mutex
	fault   fault
	running int
	waiting int
	free    chan struct{}
	conns   int
}

// maxConns is the number of connections that a leaf accepts.
const maxConns = 45

func (w *world) newLeaf(service, zone string, n, slots int, work time.Duration) *leaf {
	l := &leaf{
		w: w, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, slots: slots, queue: 16, work: work, maxConns: maxConns,
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots),
	}
	for range slots {
		l.free <- struct{}{}
	}
	l.listener = listenLoopback()
	l.address = l.listener.Addr().String()
	go l.accept()
	l.announce()
	return l
}

// announce writes the leaf's entry in the store.
func (l *leaf) announce() {
	l.w.store.put("servers/"+l.id, map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "1", "capacity": l.slots,
		"state": "ready", "warmup_ms": 0, "sequence": l.sequence.Add(1), "born": l.born,
	})
}

func (l *leaf) setFault(f fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

func (l *leaf) currentFault() fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns++
		full := l.conns > l.maxConns
		l.mu.Unlock()
		go func() {
			defer func() {
				c.Close()
				l.mu.Lock()
				l.conns--
				l.mu.Unlock()
			}()
			if full {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			l.serve(c)
		}()
	}
}

func (l *leaf) serve(c net.Conn) {
	br := bufio.NewReader(c)
	pending := &copies{Conn: c}
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		ms, _ := strconv.Atoi(req.Header.Get("X-Ryecourse-Request-Deadline"))
		r := &received{
			id: req.Header.Get("X-Ryecourse-Request-Id"), tenant: req.Header.Get("X-Ryecourse-Tenant-Id"),
			target: req.Header.Get("X-Ryecourse-Target-Instance"), path: req.URL.Path, method: req.Method,
			deadline: time.Duration(ms) * time.Millisecond, body: body,
		}
		if pending.late != nil {
			l.w.logf("second answer leaf=%s before that to request=%s: %q", l.id, r.id, firstLine(pending.late))
			c.Write(pending.late)
			pending.late = nil
		}
		if !l.handle(pending, r) {
			return
		}
	}
}

// copies is a connection with the copy of an answer that is still to be sent.
type copies struct {
	net.Conn
	late []byte
}

func firstLine(b []byte) []byte {
	line, _, _ := bytes.Cut(b, []byte("\r\n"))
	return line
}

// handle runs a request and answers it. It returns false if the connection ends.
func (l *leaf) handle(c net.Conn, r *received) bool {
	if r.target != "" && r.target != l.id {
		return l.answer(c, r, 421, "X-Ryecourse-Not-Executed: 1\r\n", nil)
	}
	if l.w.onArrival != nil {
		l.w.onArrival(l, r)
	}
	if l.hangs.Load() && rand.Float64() < hungShare {
		l.w.logf("no answer to request=%s leaf=%s", r.id, l.id)
		var b [1]byte
		_, _ = c.Read(b[:]) // until the caller closes the connection
		return false
	}
	l.mu.Lock()
	if l.waiting >= l.queue {
		l.mu.Unlock()
		l.w.logf("turned away request=%s leaf=%s", r.id, l.id)
		return l.answer(c, r, 503, "X-Ryecourse-Not-Executed: 1\r\n", nil)
	}
	l.waiting++
	l.mu.Unlock()
	<-l.free
	l.mu.Lock()
	l.waiting--
	l.running++
	l.mu.Unlock()
	l.w.ran(l, r)
	time.Sleep(l.work)
	l.mu.Lock()
	l.running--
	l.mu.Unlock()
	l.free <- struct{}{}
	if f := l.currentFault(); f != nil {
		if handled, closes := f(l, c, r); handled {
			return !closes
		}
	}
	return l.answer(c, r, 200, "X-Ryecourse-Server-Stamp: "+stampOf(l, r)+"\r\n", bodyOf(l, r))
}

// answer writes a whole answer.
func (l *leaf) answer(c net.Conn, r *received, status int, headers string, body []byte) bool {
	l.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", l.running, l.waiting, l.slots)
	l.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Server-Load: %s\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), r.id, load, headers, len(body))
	b.Write(body)
	_, err := c.Write(b.Bytes())
	if p, ok := c.(*copies); ok && err == nil && l.secondAnswers.Load() && rand.Float64() < secondAnswers {
		p.late = b.Bytes()
	}
	return err == nil
}

// stampOf returns the receipt of a leaf's answer to a request.
func stampOf(l *leaf, r *received) string { return l.id + "." + r.id }

// bodyOf returns the body of a leaf's answer.
func bodyOf(l *leaf, r *received) []byte {
	return bytes.Repeat([]byte(l.id+" "+r.id+"\n"), 40)
}

func listenLoopback() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

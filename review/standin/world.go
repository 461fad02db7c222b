// Command standin plays a small deployment for the cases of the review: the platform's
// store, leafs, and requesters, around gateways that run as processes of their own.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryMB is limits.memory_mb of a machine.
const memoryMB = 284

// world is a deployment.
type world struct {
	store    *store
	leafs    []*leaf
	gateways []*gateway
	trouble  bool
	dir      string
	record   *bufio.Writer
	recordMu sync.Mutex
	started  time.Time
	stopping atomic.Bool
	onRan    func(l *leaf, r *received)
	// onArrival is called for each request that reaches a leaf, other than those that
	// name another leaf.
	onArrival func(l *leaf, r *received)

	storeAddress string
	zones        []string
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", args...)
	cleanup()
	os.Exit(2)
}

// current is the deployment whose processes cleanup ends.
var current *world

func cleanup() {
	if current == nil {
		return
	}
	current.stopping.Store(true)
	for _, g := range current.gateways {
		g.kill()
	}
	current.recordMu.Lock()
	current.record.Flush()
	current.recordMu.Unlock()
	os.RemoveAll(current.dir)
}

func newWorld(recordPath string) *world {
	f, err := os.Create(recordPath)
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	w := &world{
		store: newStore(), trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: bufio.NewWriterSize(f, 1<<16),
		started: time.Now(), zones: []string{"roskilde", "koege"},
	}
	current = w
	l := listenLoopback()
	w.storeAddress = l.Addr().String()
	w.store.serve(l)
	return w
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), line)
}

// sayf writes a line to the record and to standard output.
func (w *world) sayf(format string, args ...any) {
	w.logf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) ran(l *leaf, r *received) {
	w.logf("ran request=%s leaf=%s tenant=%s deadline_ms=%d", r.id, l.id, r.tenant, r.deadline.Milliseconds())
	if w.onRan != nil {
		w.onRan(l, r)
	}
}

// heartbeats writes the leafs' entries again and again.
func (w *world) heartbeats() {
	go func() {
		for !w.stopping.Load() {
			time.Sleep(1200 * time.Millisecond)
			w.store.mu.Lock()
			down := w.store.down
			w.store.mu.Unlock()
			if down {
				continue
			}
			for _, l := range w.leafs {
				l.announce()
			}
		}
	}()
}

// gateway is one machine of the system.
type gateway struct {
	w                     *world
	name, zone            string
	front, ready, control string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	starts int
	out    bool // out of rotation
	missed int
}

// freeAddress returns an address whose port is free, and below those that the system gives
// to outgoing connections, so that it is still free when a process starts again.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if taken[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			taken[address] = true
			return address
		}
	}
	fail("no free port")
	return ""
}

// taken holds the addresses of the gateways.
var taken = map[string]bool{}

func (w *world) addGateways(n int) {
	for i := range n {
		w.gateways = append(w.gateways, &gateway{
			w: w, name: fmt.Sprintf("front-%d", i+1), zone: w.zones[i%len(w.zones)],
			front: freeAddress(), ready: freeAddress(), control: freeAddress(), out: true,
		})
	}
	for _, g := range w.gateways {
		g.start(true)
	}
	for _, g := range w.gateways {
		go g.checkReadiness()
	}
}

func (g *gateway) settings(first bool) string {
	var seeds []string
	for _, o := range g.w.gateways[:min(3, len(g.w.gateways))] {
		seeds = append(seeds, o.control)
	}
	lines := []string{
		"node=" + g.name, "role=gateway", "node_class=front", "serves=front,control", "ip=127.0.0.1", "zone=" + g.zone, "region=dk-east",
		"bind_addrs.front=" + g.front, "bind_addrs.ready=" + g.ready, "bind_addrs.control=" + g.control,
		"seeds=" + strings.Join(seeds, ","), "bootstrap=" + strconv.FormatBool(first), "loss_counts=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=" + strconv.Itoa(memoryMB), "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,scatter,places,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.sync_s=4",
		"bounds.drain_ms=3000", "bounds.grace_s=6", "bounds.lost_ms=200", "bounds.config_apply_ms=3000", "bounds.downgrade_ms=250",
		"bounds.max_skew_ms=12000", "bounds.revoke_strict=true", "bounds.revoke_ms=5000", "bounds.retry_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_slack=58", "bounds.quota_window_s=5", "bounds.quota_overage=0.25",
		"bounds.quota_slack=20", "bounds.warmup_overage=1.5", "bounds.warmup_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"platform.address=" + g.w.storeAddress, "platform.form=read", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	for _, z := range g.w.zones {
		lines = append(lines, "zones."+z+"=dk-east")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command of deploy/system.toml.
func (g *gateway) start(first bool) {
	path := filepath.Join(g.w.dir, g.name+".conf")
	if err := os.WriteFile(path, []byte(g.settings(first)), 0o600); err != nil {
		fail("%v", err)
	}
	out, err := os.OpenFile(filepath.Join(g.w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer out.Close()
	cmd := exec.Command("target/ryecourse", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RYECOURSE_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.starts++
	g.mu.Unlock()
	g.w.logf("start %s pid=%d", g.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		g.w.logf("end %s: %v", g.name, err)
		close(ended)
	}()
}

func (g *gateway) process() (*os.Process, chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return nil, nil
	}
	return g.cmd.Process, g.ended
}

func (g *gateway) kill() {
	if p, ended := g.process(); p != nil {
		p.Kill()
		<-ended
	}
}

// restart kills the process and starts it again after a short delay, as the platform does.
func (g *gateway) restart(delay time.Duration) {
	g.kill()
	time.Sleep(delay)
	if !g.w.stopping.Load() {
		g.start(false)
	}
}

// anonymousMB returns the resident memory of the process without that of its files.
func (g *gateway) anonymousMB() int {
	p, _ := g.process()
	if p == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// checkReadiness asks for readiness once a second. Two misses take the machine out of
// rotation, a 200 brings it back.
func (g *gateway) checkReadiness() {
	client := &http.Client{Timeout: time.Second}
	for !g.w.stopping.Load() {
		resp, err := client.Get("http://" + g.ready + "/api/readiness")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		g.mu.Lock()
		if ok {
			g.missed, g.out = 0, false
		} else if g.missed++; g.missed >= 2 {
			g.out = true
		}
		g.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (g *gateway) inRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.out
}

// awaitReady waits until all machines are in rotation.
func (w *world) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, g := range w.gateways {
		for !g.inRotation() {
			if time.Now().After(end) {
				g.dumpLog()
				fail("%s isn't ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (g *gateway) log() []byte {
	b, _ := os.ReadFile(filepath.Join(g.w.dir, g.name+".log"))
	return b
}

func (g *gateway) dumpLog() {
	b := g.log()
	os.Stderr.Write(b[max(0, len(b)-4000):])
}

// result is the end of a requester attempt.
type result struct {
	id     string
	status int // 0: no whole answer
	header http.Header
	body   []byte
	err    error
	kept   bool // sent on a connection that had carried an answer before
	took   time.Duration
	sentAt time.Time
	// timedOut is set if the requester gave up.
	timedOut bool
}

// requester is a client with a connection that it keeps.
type requester struct {
	w    *world
	g    *gateway
	conn net.Conn
	br   *bufio.Reader
	used bool
	// onSend is called before a request is sent.
	onSend func(id string, at time.Time)
}

var nextID atomic.Int64

// request is what a requester sends.
type request struct {
	method, host, path, key string
	deadline                time.Duration
	body                    []byte
}

func (c *requester) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads its answer.
func (c *requester) do(rq request) result {
	res := result{id: fmt.Sprintf("q%08d", nextID.Add(1)), sentAt: time.Now()}
	defer func() { res.took = time.Since(res.sentAt) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.g.front, time.Second)
		if err != nil {
			res.err = err
			return res
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	}
	res.kept = c.used
	c.conn.SetDeadline(time.Now().Add(rq.deadline + 500*time.Millisecond))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Request-Deadline: %d\r\n",
		rq.method, rq.path, rq.host, res.id, rq.deadline.Milliseconds())
	if rq.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", rq.key)
	}
	if rq.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(rq.body))
	}
	b.WriteString("\r\n")
	b.Write(rq.body)
	c.w.logf("sent request=%s to=%s path=%s key=%s", res.id, c.g.name, rq.path, rq.key)
	if c.onSend != nil {
		c.onSend(res.id, time.Now())
	}
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		res.err = err
		c.close()
		return res
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: rq.method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		res.err, res.timedOut = err, errors.Is(err, os.ErrDeadlineExceeded)
		c.close()
		return res
	}
	res.status, res.header, res.body = resp.StatusCode, resp.Header, body
	c.used = true
	if resp.Close {
		c.close()
	}
	return res
}

func (c *requester) logResult(res result) {
	if res.status == 0 {
		c.w.logf("no answer request=%s from=%s kept=%v: %v", res.id, c.g.name, res.kept, res.err)
		return
	}
	c.w.logf("answer request=%s from=%s status=%d stamp=%q bytes=%d ms=%d", res.id, c.g.name, res.status,
		res.header.Get("X-Ryecourse-Server-Stamp"), len(res.body), res.took.Milliseconds())
}

// config is the operator's configuration.
func config(version int, keys map[string][]string) map[string]any {
	var tenants []any
	for name, k := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": k, "priority": 1, "rate_per_s": 4000, "burst": 4000})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-orders", "host": "hufi27.example", "prefix": "/goka902/", "route_type": "idempotent",
				"timeout_ms": 4000, "slo_ms": 250, "priority": 2, "service": "orders", "attempts": 2, "public": false},
			map[string]any{"name": "r-unsafe", "host": "hufi27.example", "prefix": "/pay/", "route_type": "non_idempotent",
				"timeout_ms": 4000, "slo_ms": 250, "priority": 2, "service": "orders", "attempts": 2, "public": false},
			map[string]any{"name": "r-events", "host": "hufi27.example", "prefix": "/events/", "route_type": "idempotent",
				"timeout_ms": 4000, "slo_ms": 250, "priority": 2, "service": "events", "attempts": 2, "public": false},
		},
		"services": []any{service("orders"), service("events")},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0}
}

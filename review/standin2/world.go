package main

import (
	"bufio"
	"fmt"
	"io"
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

func listen(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		cantRun(err)
	}
	return l
}

func freeAddr(ip string) string {
	l := listen(ip + ":0")
	defer l.Close()
	return l.Addr().String()
}

// tempDir holds the settings and logs of the processes.
var tempDir string

// cantRun ends the program with the status of a case that couldn't run.
func cantRun(err any) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	for _, g := range gateways {
		g.kill()
	}
	if tempDir != "" {
		os.RemoveAll(tempDir)
	}
	os.Exit(2)
}

// recorder writes what was sent, answered and run to the record.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
	onRun func(lf *leaf, r *http.Request, id string)
	quiet bool // requests and runs aren't written one by one
}

func (rec *recorder) say(format string, a ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.out, "%9.4f %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, a...))
}

func (rec *recorder) ran(lf *leaf, r *http.Request, id string, body []byte) {
	if rec.onRun != nil {
		rec.onRun(lf, r, id)
	}
	if !rec.quiet {
		rec.say("run      %s at %s (%s): %s %s tenant=%q", id, lf.id, lf.service, r.Method, r.RequestURI, r.Header.Get("X-Ryecourse-Tenant-Id"))
	}
}

type world struct {
	store *store
	rec   *recorder
	dir   string
	seq   atomic.Int64
}

func newWorld(record string) *world {
	f, err := os.Create(record)
	if err != nil {
		cantRun(err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		cantRun(err)
	}
	tempDir = dir
	return &world{store: newStore(), dir: dir, rec: &recorder{out: bufio.NewWriter(f), start: time.Now()}}
}

// gateway is one process of the system.
type gateway struct {
	name, front, ready, control string
	settings                    string
	cmd                         *exec.Cmd
	ended                       chan struct{}
	logPath                     string
	peakMB                      atomic.Int64
	kills                       int // for its memory
}

var gateways []*gateway

// newGateway reserves the addresses of a gateway, on a loopback address of its own.
func (w *world) newGateway(n int) *gateway {
	ip := fmt.Sprintf("127.0.0.%d", 20+n)
	g := &gateway{name: fmt.Sprintf("front-zone-a-%d", n), front: freeAddr(ip), ready: freeAddr(ip), control: freeAddr(ip)}
	gateways = append(gateways, g)
	return g
}

// start starts the process with settings like those of a small deployment. extra replaces lines.
func (w *world) start(g *gateway, seeds []*gateway, bootstrap bool, extra map[string]string) {
	var list []string
	for _, s := range seeds {
		list = append(list, s.control)
	}
	lines := [][2]string{
		{"node", g.name}, {"role", "gateway"}, {"node_class", "front"}, {"serves", "front,control"},
		{"ip", strings.Split(g.front, ":")[0]}, {"zone", "zone-a"}, {"region", "geo-a"}, {"zones.zone-a", "geo-a"}, {"zones.zone-b", "geo-a"},
		{"bind_addrs.front", g.front}, {"bind_addrs.ready", g.ready}, {"bind_addrs.control", g.control},
		{"port_range", "7740,7755"}, {"seeds", strings.Join(list, ",")}, {"bootstrap", strconv.FormatBool(bootstrap)}, {"loss_counts", "false"},
		{"limits.cpu_share", "0.4"}, {"limits.cores", "1"}, {"limits.memory_mb", "284"}, {"limits.max_fds", "4100"},
		{"limits.link_mbps", "1000.0"}, {"limits.disk_mb", "0"}, {"discovery", "platform"}, {"entry", "vip"}, {"heartbeat_ms", "1200"},
		{"contracts", "base,drain,config,cost,retry,recover,scatter,places,tenants,quota,platform"},
		{"fault_tolerance.machines", "1"}, {"fault_tolerance.zones", "1"}, {"fault_tolerance.regions", "0"},
		{"bounds.seed_lag_s", "3"}, {"bounds.reuse_after_s", "2"}, {"bounds.contact_ms", "4000"}, {"bounds.ack_ms", "5000"},
		{"bounds.sync_s", "4"}, {"bounds.drain_ms", "3000"}, {"bounds.grace_s", "6"}, {"bounds.lost_ms", "200"},
		{"bounds.config_apply_ms", "3000"}, {"bounds.downgrade_ms", "250"}, {"bounds.max_skew_ms", "12000"},
		{"bounds.revoke_strict", "true"}, {"bounds.revoke_ms", "5000"}, {"bounds.retry_ratio", "0.2"}, {"bounds.budget_window_s", "10"},
		{"bounds.retry_slack", "58"}, {"bounds.quota_window_s", "5"}, {"bounds.quota_overage", "0.25"}, {"bounds.quota_slack", "20"},
		{"bounds.warmup_overage", "1.5"}, {"bounds.warmup_slack", "5"}, {"bounds.evacuate_ms", "5000"}, {"bounds.recovery_s", "12"},
		{"platform.address", w.store.addr}, {"platform.form", "read"}, {"platform.writes_per_s", "400"}, {"platform.reads_per_s", "2000"},
		{"platform.history_s", "20"}, {"platform.value_bytes", "1048576"}, {"platform.min_ttl_ms", "1000"},
	}
	var b strings.Builder
	for _, l := range lines {
		if v, ok := extra[l[0]]; ok {
			l[1] = v
		}
		fmt.Fprintf(&b, "%s=%s\n", l[0], l[1])
	}
	g.settings = filepath.Join(w.dir, g.name+".conf")
	if err := os.WriteFile(g.settings, []byte(b.String()), 0o644); err != nil {
		cantRun(err)
	}
	w.launch(g)
}

// launch starts the process as deploy/system.toml does.
func (w *world) launch(g *gateway) {
	g.logPath = filepath.Join(w.dir, g.name+".log")
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cantRun(err)
	}
	cmd := exec.Command("target/ryecourse", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "RYECOURSE_CONFIG=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cantRun(err)
	}
	ended := make(chan struct{})
	g.cmd, g.ended = cmd, ended
	w.rec.say("start    %s pid %d", g.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		w.rec.say("end      %s pid %d: %v", g.name, cmd.Process.Pid, err)
		log.Close()
		close(ended)
	}()
}

func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

func (g *gateway) signal(s syscall.Signal) { g.cmd.Process.Signal(s) }

func (g *gateway) kill() {
	if g.cmd != nil && !g.hasEnded() { // the process that runs now
		g.cmd.Process.Signal(syscall.SIGKILL)
		<-g.ended
	}
}

// residentMB returns the resident memory of the process.
func (g *gateway) residentMB() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb / 1024
		}
	}
	return 0
}

// awaitReady waits until the gateway counts as ready.
func (w *world) awaitReady(g *gateway) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + g.ready + "/api/readiness")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				w.rec.say("ready    %s", g.name)
				return
			}
		}
	}
	cantRun(g.name + " isn't ready")
}

// finish ends all processes, writes the record and exits with 1 if the rule was broken.
func (w *world) finish(broken bool, why string) {
	w.rec.say("verdict  broken=%v: %s", broken, why)
	for _, g := range gateways {
		g.kill()
	}
	w.rec.mu.Lock()
	w.rec.out.Flush()
	w.rec.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	fmt.Printf("broken=%v: %s\n", broken, why)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// conn is a requester's kept connection.
type conn struct {
	c    net.Conn
	br   *bufio.Reader
	used bool
}

type reply struct {
	status  int
	headers http.Header
	body    []byte
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c: c, br: bufio.NewReader(c)}, nil
}

func (w *world) newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+w.seq.Add(1)) }

// do sends a request and reads its answer.
func (c *conn) do(method, host, path, id, key string, deadline time.Duration, body []byte) (reply, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Ryecourse-Request-Id: %s\r\nX-Ryecourse-Request-Deadline: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", key)
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	c.c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := io.WriteString(c.c, b.String()); err != nil {
		return reply{}, err
	}
	return c.read(method)
}

func (c *conn) read(method string) (reply, error) {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	c.used = true
	return reply{resp.StatusCode, resp.Header, data}, nil
}

const host = "leno12.example"

// config is the operator's configuration.
type config struct {
	version  int
	routes   []map[string]any
	services []string
	tenants  []map[string]any
	warmup   float64 // warmup_per_s
}

func (c config) item() map[string]any {
	var services []any
	for _, s := range c.services {
		services = append(services, map[string]any{"name": s, "health_path": "/health", "max_conns": 45, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": c.warmup})
	}
	return map[string]any{
		"version": c.version, "routes": c.routes, "services": services, "tenants": c.tenants,
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func route(name, prefix, kind, service string, timeoutMs, sloMs, attempts int, public bool) map[string]any {
	return map[string]any{"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs, "slo_ms": sloMs,
		"priority": 2, "service": service, "attempts": attempts, "public": public}
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

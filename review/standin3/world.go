//go:build review3

// Command standin3 plays the surroundings of a small fleet of gateways on loopback: the
// platform's store, leafs, requesters and the operator. It starts the gateways as the deploy
// file does, brings one disruption about, and checks one rule by what leafs and requesters
// see. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort, readyPort, controlPort = 9461, 9462, 9463
	heartbeat                         = 1200 * time.Millisecond
	storeLatency                      = 4 * time.Millisecond
	drainBound                        = 3 * time.Second
	zoneCount                         = 4
)

// broken is the exit of a case that can't run.
func broken(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

type world struct {
	prefix  string // the first three parts of the loopback addresses
	reserve net.Listener
	dir     string
	begin   time.Time
	store   *store
	vms     []*vm
	trouble bool
	coldFor time.Duration // of the next leaf

	mu     sync.Mutex
	record bytes.Buffer
	quiet  map[string]int
}

func newWorld(vms int) *world {
	w := &world{begin: time.Now(), trouble: os.Getenv("TROUBLE") != "0", quiet: map[string]int{}}
	for i := 0; w.reserve == nil; i++ {
		if i == 1<<14 {
			panic("no loopback network is free")
		}
		k := (os.Getpid() + i) % (1 << 14)
		w.prefix = fmt.Sprintf("127.%d.%d", 96+k/256, k%256)
		if l, err := net.Listen("tcp", w.prefix+".1:9469"); err == nil {
			w.reserve = l
		}
	}
	w.dir = must(os.MkdirTemp("", "review3-"))
	w.store = newStore(w)
	for i := range vms {
		w.vms = append(w.vms, w.newVM(i))
	}
	return w
}

// logf writes a line of the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.record, "%8.3f  ", time.Since(w.begin).Seconds())
	fmt.Fprintf(&w.record, format, args...)
	w.record.WriteByte('\n')
}

// verdict ends the processes, writes the record and exits.
func (w *world) verdict(isBroken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("verdict: %s", text)
	fmt.Println(text)
	w.end()
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	w.mu.Lock()
	err := os.WriteFile(path, w.record.Bytes(), 0o644)
	w.mu.Unlock()
	if err != nil {
		broken(err)
	}
	if isBroken {
		os.Exit(1)
	}
	os.Exit(0)
}

func (w *world) end() {
	for _, v := range w.vms {
		v.kill()
	}
	os.RemoveAll(w.dir)
}

func (w *world) listen() net.Listener { return must(net.Listen("tcp", w.prefix+".1:0")) }

func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%zoneCount) }

// vm is one machine with a gateway.
type vm struct {
	w                           *world
	index                       int
	name, zone, ip              string
	front, ready, control, base string

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
}

func (w *world) newVM(i int) *vm {
	v := &vm{w: w, index: i, name: fmt.Sprintf("front-%d", i), zone: zoneOf(i), ip: fmt.Sprintf("%s.%d", w.prefix, 10+i)}
	at := func(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }
	v.front, v.ready, v.control = at(frontPort), at(readyPort), at(controlPort)
	v.base = w.store.listen(i)
	return v
}

// settings are those of a small deployment, as `fleetbench wire` shows them.
func (v *vm) settings(bootstrap bool) string {
	var seeds []string
	for _, other := range v.w.vms[:min(3, len(v.w.vms))] {
		seeds = append(seeds, other.control)
	}
	lines := []string{
		"node=" + v.name, "role=gateway", "node_class=front", "serves=front,control", "ip=" + v.ip, "zone=" + v.zone, "region=region",
		"bind_addrs.front=" + v.front, "bind_addrs.ready=" + v.ready, "bind_addrs.control=" + v.control,
		"port_range=7740,7755", "seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap), "loss_counts=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", fmt.Sprintf("heartbeat_ms=%d", heartbeat.Milliseconds()),
		"contracts=base,drain,config,cost,retry,recover,scatter,places,tenants,quota,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.sync_s=4",
		"bounds.drain_ms=3000", "bounds.grace_s=6", "bounds.lost_ms=200", "bounds.config_apply_ms=3000", "bounds.downgrade_ms=250",
		"bounds.max_skew_ms=12000", "bounds.revoke_strict=true", "bounds.revoke_ms=5000", "bounds.retry_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_slack=58", "bounds.quota_window_s=5", "bounds.quota_overage=0.25", "bounds.quota_slack=20",
		"bounds.warmup_overage=1.5", "bounds.warmup_slack=5", "bounds.evacuate_ms=5000", "bounds.recovery_s=12",
		"platform.address=" + v.base, "platform.form=read", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.min_ttl_ms=1000",
	}
	for i := range zoneCount {
		lines = append(lines, "zones."+zoneOf(i)+"=region")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the gateway with the deploy file's command.
func (v *vm) start(bootstrap bool) {
	path := filepath.Join(v.w.dir, v.name+".conf")
	if err := os.WriteFile(path, []byte(v.settings(bootstrap)), 0o600); err != nil {
		panic(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.log == nil {
		v.log = must(os.Create(filepath.Join(v.w.dir, v.name+".log")))
	}
	cmd := exec.Command("target/ryecourse", "gateway")
	cmd.Env = append(os.Environ(), "RYECOURSE_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		broken(err)
	}
	v.cmd = cmd
	v.w.logf("%s starts, process %d", v.name, cmd.Process.Pid)
}

// kill ends the process, and waits for it.
func (v *vm) kill() {
	v.mu.Lock()
	cmd := v.cmd
	v.cmd = nil
	v.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Process.Kill()
	cmd.Wait()
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		v.w.logf("%s gets %v", v.name, s)
		v.cmd.Process.Signal(s)
	}
}

// startAll starts the fleet for the first time and waits until it is ready.
func (w *world) startAll() {
	var started sync.WaitGroup
	for _, v := range w.vms {
		started.Go(func() {
			time.Sleep(rand.N(300 * time.Millisecond)) // "within 0.3 s of each other, in any order"
			v.start(true)
		})
	}
	started.Wait()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(w.vms) {
			break
		}
		if time.Now().After(end) {
			w.keepLogs()
			w.end()
			broken(fmt.Errorf("%d of %d gateways are ready after 20 s", ready, len(w.vms)))
		}
	}
	w.logf("all gateways are ready")
}

// keepLogs copies the logs of the gateways to the folder that LOGS names, if any.
func (w *world) keepLogs() {
	if to := os.Getenv("LOGS"); to != "" {
		for _, v := range w.vms {
			if b, err := os.ReadFile(filepath.Join(w.dir, v.name+".log")); err == nil {
				os.WriteFile(filepath.Join(to, v.name+".log"), b, 0o644)
			}
		}
	}
}

func (v *vm) isReady() bool {
	resp, err := http.Get("http://" + v.ready + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/standin/leaf"
	"ryecourse.example/ryecourse/internal/standin/load"
)

const (
	// singleCallerTime is the length of each phase with one caller.
	singleCallerTime = 4 * time.Second
	// loadTime is the length of each phase under load.
	loadTime = 6 * time.Second
	// loadCallers is the number of callers under load; each has one query
	// running at a time. The bare loop keeps as many upstream requests running
	// as these queries need, one for each shard.
	loadCallers = 16
	// bareConnections bounds the bare loop's connections to one upstream.
	bareConnections = 100
	// clockTicksPerSecond is the resolution of processor time in /proc (USER_HZ).
	clockTicksPerSecond = 100
)

// Cost compares the tier with a bare loop: the HTTP library's client, which sends
// the same requests to the same upstreams without the tier.
type Cost struct {
	Seed uint64 `json:"seed"`
	// BareP50MS and TierP50MS are median latencies with one caller: of a fan-out
	// to all shards, and of a query.
	BareP50MS float64 `json:"bare_p50_ms"`
	TierP50MS float64 `json:"tier_p50_ms"`
	// BareCPUMicros and TierCPUMicros are the processor time of the whole process
	// per upstream request under load, in microseconds.
	BareCPUMicros float64 `json:"bare_micros"`
	TierCPUMicros float64 `json:"tier_micros"`
	// BareRate and TierRate are upstream requests per second under load.
	BareRate float64 `json:"bare_rate"`
	TierRate float64 `json:"tier_rate"`
	// BareFailed counts failed requests of the bare loop.
	BareFailed uint64 `json:"bare_failed"`
	// Failures counts the queries without a correct answer, by outcome.
	Failures []Failure `json:"failures"`
}

// Failure is an outcome other than a correct answer, and how many queries had it.
type Failure struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// failures counts failed queries by outcome. It is safe for concurrent use.
type failures struct {
	mu     sync.Mutex
	counts []Failure
}

func (f *failures) add(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.counts {
		if f.counts[i].Name == name {
			f.counts[i].Count++
			return
		}
	}
	f.counts = append(f.counts, Failure{Name: name, Count: 1})
}

// take returns the failures so far and resets the counts.
func (f *failures) take() []Failure {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := f.counts
	f.counts = nil
	return found
}

// fanOut sends one request to a replica of each shard and waits for all.
type fanOut struct {
	cfg    *Config
	shards [][]*fasthttp.HostClient
	ids    atomic.Uint64
	failed atomic.Uint64
}

func newFanOut(cfg *Config, all []leaf.Status) *fanOut {
	f := &fanOut{cfg: cfg, shards: make([][]*fasthttp.HostClient, cfg.Service.Shards)}
	for _, s := range all {
		client := &fasthttp.HostClient{Addr: s.Address, MaxConns: bareConnections, NoDefaultUserAgentHeader: true}
		f.shards[s.Shard] = append(f.shards[s.Shard], client)
	}
	return f
}

// fanOutOnce sends one fan-out and waits for its responses.
func (f *fanOut) fanOutOnce() {
	id := f.ids.Add(1)
	var all sync.WaitGroup
	for shard, replicas := range f.shards {
		client := replicas[id%uint64(len(replicas))]
		all.Go(func() { f.send(client, id, shard) })
	}
	all.Wait()
}

// loop sends requests for the duration d. It has a goroutine for each upstream
// request of the queries under load; each sends one request after the other.
func (f *fanOut) loop(d time.Duration) {
	end := time.Now().Add(d)
	var all sync.WaitGroup
	for i := range loadCallers * len(f.shards) {
		shard := i % len(f.shards)
		replicas := f.shards[shard]
		all.Go(func() {
			for n := uint64(i); time.Now().Before(end); n++ {
				f.send(replicas[n%uint64(len(replicas))], n, shard)
			}
		})
	}
	all.Wait()
}

func (f *fanOut) send(client *fasthttp.HostClient, id uint64, shard int) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	number := strconv.FormatUint(id, 10)
	req.SetRequestURI("http://" + client.Addr + "/v1/query")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Attempt-Id", number+"."+strconv.Itoa(shard))
	req.Header.Set("X-Request-Id", number)
	req.Header.Set("X-Service", f.cfg.Service.Name)
	req.Header.Set("X-Shard", strconv.Itoa(shard))
	req.Header.Set("X-Deadline-Ms", strconv.Itoa(f.cfg.Service.DeadlineMS))
	req.SetBodyString(`{"query":{"text":"` + number + `"},"min_coverage":1,"deadline_ms":500}`)
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		f.failed.Add(1)
	}
}

// closedLoop has each caller repeat an operation for the duration d. It returns
// the number of operations and the histogram of their latency.
func closedLoop(callers int, d time.Duration, operation func(caller int)) (uint64, *hdrhistogram.Histogram) {
	h := hdrhistogram.New(1, maxLatency, latencyDigits)
	var mu sync.Mutex
	var n atomic.Uint64
	var all sync.WaitGroup
	end := time.Now().Add(d)
	for caller := range callers {
		all.Go(func() {
			own := hdrhistogram.New(1, maxLatency, latencyDigits)
			for start := time.Now(); start.Before(end); start = time.Now() {
				operation(caller)
				n.Add(1)
				_ = own.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			h.Merge(own)
		})
	}
	all.Wait()
	return n.Load(), h
}

// MeasureCost compares one daemon with the bare loop.
func MeasureCost(cfg *Config) (*Cost, error) {
	up := &upstreams{controls: cfg.Controls}
	all, err := up.statuses()
	if err != nil {
		return nil, err
	}
	c := &Cost{Seed: cfg.Seed}
	bare := newFanOut(cfg, all)
	client := load.NewClient(cfg.Daemons[0])
	var texts atomic.Uint64
	var failed failures
	prefix := time.Now().UnixNano()
	query := func(int) {
		text := fmt.Sprintf("%d query %d", prefix, texts.Add(1))
		if req := client.Send(&cfg.Service, &cfg.Customer, text); req.Kind != load.KindAnswer || req.Mismatch != "" {
			failed.add(req.Outcome() + req.Mismatch)
		}
	}
	if err := warmUpTier(query, &failed); err != nil {
		return nil, err
	}
	if err := c.measure(cfg, up, bare, query); err != nil {
		return nil, err
	}
	c.Failures = failed.take()
	c.BareFailed = bare.failed.Load()
	return c, nil
}

// warmUpTier sends queries until one step of warmUpStep passes without a failure.
func warmUpTier(query func(int), failed *failures) error {
	for end := time.Now().Add(warmUpLimit); time.Now().Before(end); {
		failed.take()
		closedLoop(loadCallers, warmUpStep, query)
		if len(failed.take()) == 0 {
			return nil
		}
	}
	return ErrWarmUpTimeout
}

func (c *Cost) measure(cfg *Config, up *upstreams, bare *fanOut, query func(int)) error {
	bare.loop(warmUpStep)
	_, h := closedLoop(1, singleCallerTime, func(int) { bare.fanOutOnce() })
	c.BareP50MS = quantile(h, 50)
	_, h = closedLoop(1, singleCallerTime, query)
	c.TierP50MS = quantile(h, 50)

	span, err := up.measureUsage(ownCPUTime, func() { bare.loop(loadTime) })
	if err != nil {
		return err
	}
	c.BareCPUMicros, c.BareRate = span.cpuMicros(), span.rate()
	daemonTime := func() (time.Duration, error) { return processCPUTime(cfg.PIDs) }
	span, err = up.measureUsage(daemonTime, func() { closedLoop(loadCallers, loadTime, query) })
	if err != nil {
		return err
	}
	c.TierCPUMicros, c.TierRate = span.cpuMicros(), span.rate()
	return nil
}

// usage is processor time and upstream requests over a span of time.
type usage struct {
	cpu      time.Duration
	requests uint64
	elapsed  time.Duration
}

func (u usage) cpuMicros() float64 {
	return float64(u.cpu.Microseconds()) / float64(max(u.requests, 1))
}

func (u usage) rate() float64 { return float64(u.requests) / u.elapsed.Seconds() }

// measureUsage runs work and returns the processor time, by the given clock, and
// the requests that the upstreams received meanwhile.
func (u *upstreams) measureUsage(clock func() (time.Duration, error), work func()) (usage, error) {
	before, err := u.totals("")
	if err != nil {
		return usage{}, err
	}
	start := time.Now()
	from, err := clock()
	if err != nil {
		return usage{}, err
	}
	work()
	to, err := clock()
	if err != nil {
		return usage{}, err
	}
	elapsed := time.Since(start)
	after, err := u.totals("")
	return usage{cpu: to - from, requests: after.received - before.received, elapsed: elapsed}, err
}

// ownCPUTime returns the processor time of this process.
func ownCPUTime() (time.Duration, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0, err
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), nil
}

// processCPUTime returns the total processor time of the given processes.
func processCPUTime(pids []int) (time.Duration, error) {
	var sum time.Duration
	for _, pid := range pids {
		content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, err
		}
		// proc(5): utime and stime are fields 14 and 15; the second field is
		// the name in brackets, which may contain spaces.
		text := string(content)
		fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
		for _, f := range fields[11:13] {
			ticks, err := strconv.ParseInt(f, 10, 64)
			if err != nil {
				return 0, err
			}
			sum += time.Duration(ticks) * (time.Second / clockTicksPerSecond)
		}
	}
	return sum, nil
}

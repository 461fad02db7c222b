package leaf

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Leaf is one stand-in upstream. Its methods are safe for concurrent use; one
// lock guards all of its state.
type Leaf struct {
	cfg Config

	mu        sync.Mutex
	policy    Policy
	snapshots []Snapshot // newest first
	rng       *rand.Rand
	counters  Counters
	attempts  attemptLog
	samples   []reportedState
	starts    int
	current   *incarnation
}

// incarnation is a leaf between a start and a crash. The leaf's lock guards it.
type incarnation struct {
	leaf     *Leaf
	id       string // leaf ID, "#" and the number of the start
	ln       net.Listener
	conns    map[*conn]struct{}
	running  int
	queue    []*waiter
	crashed  bool
	draining bool
	// frozen is nil unless the leaf is frozen. It is closed when the freeze ends, by
	// Thaw or Crash.
	frozen         chan struct{}
	cold           bool
	coldUntil      time.Time
	coldRequests   int
	collapsedUntil time.Time
	lastAttempt    string
}

// Counters count a leaf's events over all of its incarnations.
type Counters struct {
	Received         uint64 `json:"received"`
	Started          uint64 `json:"started"`
	Answered         uint64 `json:"answered"`
	Shed             uint64 `json:"shed"`
	ReceivedDraining uint64 `json:"received_draining"`
	SnapshotMissing  uint64 `json:"snapshot_missing"`
	Misrouted        uint64 `json:"misrouted"`
	Expired          uint64 `json:"expired"`
	TimedOut         uint64 `json:"timed_out"`
	Canceled         uint64 `json:"canceled"`
	CanceledQueued   uint64 `json:"canceled_queued"`
	// Overruns counts requests started beyond Policy.ColdPermits.
	Overruns           uint64 `json:"overruns"`
	MaxRunning         int    `json:"max_running"`
	MaxRunningCold     int    `json:"max_running_cold"`
	ConnectionsOpened  uint64 `json:"connections_opened"`
	ConnectionsRefused uint64 `json:"connections_refused"`
	MaxConnections     int    `json:"max_connections"`
	// SecretsSeen counts requests with a credential header or a configured secret.
	SecretsSeen uint64 `json:"secrets_seen"`
	// LastReceivedMS is the time of the last receipt, in Unix milliseconds.
	LastReceivedMS int64 `json:"last_received_ms"`
}

// New returns a leaf that isn't started.
func New(cfg Config) *Leaf {
	return &Leaf{
		cfg:       cfg,
		policy:    cfg.Policy,
		snapshots: append([]Snapshot(nil), cfg.Snapshots...),
		rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.ID)))),
		attempts:  attemptLog{limit: cfg.AttemptLogLimit},
	}
}

// ID returns the upstream's ID.
func (l *Leaf) ID() string { return l.cfg.ID }

// Start listens and serves in the background. It does nothing if the leaf is
// running.
func (l *Leaf) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.cfg.Address)
	if err != nil {
		return err
	}
	l.starts++
	inc := &incarnation{
		leaf:  l,
		id:    l.cfg.ID + "#" + strconv.Itoa(l.starts),
		ln:    ln,
		conns: make(map[*conn]struct{}),
	}
	if l.policy.StartCold {
		inc.startWarmUp(time.Now())
	}
	l.current = inc
	server := &fasthttp.Server{
		Handler:               inc.serve,
		Name:                  "standin-leaf",
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		IdleTimeout:           milliseconds(l.policy.IdleTimeoutMS),
		Logger:                discardLogger{},
	}
	go func() { _ = server.Serve(&listener{Listener: ln, inc: inc}) }()
	return nil
}

// discardLogger drops the server's messages about closed connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Crash resets every connection, discards the running requests and stops
// listening, as if the process had been killed.
func (l *Leaf) Crash() {
	l.mu.Lock()
	inc := l.current
	l.current = nil
	if inc == nil {
		l.mu.Unlock()
		return
	}
	inc.crashed = true
	inc.thaw()
	conns := make([]*conn, 0, len(inc.conns))
	for c := range inc.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	_ = inc.ln.Close()
	for _, c := range conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// Freeze holds back all responses until Thaw. Connections stay open.
func (l *Leaf) Freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil && l.current.frozen == nil {
		l.current.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (l *Leaf) Thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.thaw()
	}
}

func (inc *incarnation) thaw() {
	if inc.frozen != nil {
		close(inc.frozen)
		inc.frozen = nil
	}
}

// SetDraining sets whether the leaf is draining and rejects new requests.
func (l *Leaf) SetDraining(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.draining = on
	}
}

// StartWarmUp makes the leaf cold without a restart. It does nothing if the leaf is
// down.
func (l *Leaf) StartWarmUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		l.current.startWarmUp(time.Now())
	}
}

// Publish makes a snapshot the newest one and drops the oldest ones beyond
// Policy.MaxSnapshots.
func (l *Leaf) Publish(s Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := append([]Snapshot{s}, l.snapshots...)
	l.snapshots = held[:min(len(held), max(l.policy.MaxSnapshots, 1))]
}

// PublishDelay returns a random delay below the spread.
func (l *Leaf) PublishDelay(spread time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.Float64() * float64(spread))
}

// SetPolicy applies change to the policy. If change fails, the policy stays as it
// was.
func (l *Leaf) SetPolicy(change func(*Policy) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.policy
	if err := change(&p); err != nil {
		return err
	}
	l.policy = p
	return nil
}

package fleetrpc

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/eventlog"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
	"ryecourse.example/ryecourse/internal/gen/fleet/v1/fleetv1connect"
	"ryecourse.example/ryecourse/internal/respbody"
)

// UsageTracker provides the customers' usage of this VM for reports, and receives
// that of other VMs.
type UsageTracker interface {
	// Tick returns the usage to report to the other VMs, and recomputes this VM's
	// share of each customer's rate. bootNow is the time on the clock of the
	// reports, which keeps running while the VM is suspended.
	Tick(now time.Time, bootNow time.Duration) map[uint32]fleet.Usage
	// ApplyReport applies a report of another VM.
	ApplyReport(now time.Time, r fleet.Report)
	// RemoveVM removes a VM that has left.
	RemoveVM(address string)
}

// LimitTracker tracks the limits that upstreams state, see upstreamlimit.Tracker. Times
// are on the clock of the reports.
type LimitTracker interface {
	// Tick returns what this VM reports of upstreams' limits.
	Tick(now time.Duration) []fleet.UpstreamLimit
	// ApplyReport applies a report of another VM.
	ApplyReport(now time.Duration, r fleet.Report)
	// RemoveVM removes a VM that has left.
	RemoveVM(address string)
}

// PaceTracker tracks the paces of returning upstreams, see pace.Tracker. bootNow is the
// time on the clock of the reports.
type PaceTracker interface {
	// Tick returns the paces that this VM reports.
	Tick(now time.Time, bootNow time.Duration) []fleet.UpstreamPace
	// ApplyReport applies a report of another VM.
	ApplyReport(now time.Time, bootNow time.Duration, r fleet.Report)
}

const (
	// ReportInterval is the time between two ticks, in which a VM updates its
	// report and calls other VMs. VMs adapt to a change in a customer's demand on
	// another VM only after that VM's next report.
	ReportInterval = 250 * time.Millisecond
	// callTimeout limits one exchange. It is far above the round-trip time within a
	// region, a few milliseconds. It may exceed ReportInterval, since a tick skips
	// the peers with a call in flight.
	callTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection to a peer is kept.
	idleTimeout = 30 * time.Second
)

// maxMessageBytes bounds a message between VMs. The largest holds all metadata.
const maxMessageBytes = 32 << 20

// Exchanger exchanges reports with the other VMs.
type Exchanger struct {
	usage    UsageTracker
	limits   LimitTracker
	paces    PaceTracker // nil for none
	suspects SuspectTracker
	log      *eventlog.Log
	client   *http.Client
	onTick   func(Size)
	// queryClient carries the queries that other VMs run for this one, queries runs
	// theirs.
	queryClient *http.Client
	queries     QueryRunner
	executors   *executor.Directory

	mu          sync.Mutex
	members     *fleet.Table
	peers       map[string]*peer // by address
	fleetSize   Size             // as passed to onTick
	selfAddress string
	// readers are the VMs that read the metadata store on behalf of this one;
	// empty if this VM reads it itself.
	readers []string
	isRelay bool // other VMs read the metadata from this one
	changes ChangeSource

	encodedConfig configEncoding
}

// peer is this VM's state as a client of another VM.
type peer struct {
	client       fleetv1connect.FleetServiceClient
	queries      fleetv1connect.FleetServiceClient // nil before the first query
	callInFlight bool                              // an exchange that this VM started
	callFailed   bool                              // the last such exchange failed
	discovered   bool                              // a report of the VM has been received since this process started
	// suspectsDigest is that of the VM's suspects in its last message.
	suspectsDigest uint64
	// alerting is set while the suspects are being sent at once, alertAgain if they have
	// changed since.
	alerting, alertAgain bool
}

// Size holds the numbers of VMs that limits are divided by.
type Size struct {
	VMs int
	// Executors is the number of executors; IsExecutor reports whether this VM is one.
	Executors  int
	IsExecutor bool
}

// New returns an exchanger. onTick is called in each tick. The responses of other VMs are charged
// to the account.
func New(self fleet.Report, seeds []string, memory respbody.Account, usage UsageTracker, limits LimitTracker, suspects SuspectTracker, log *eventlog.Log, onTick func(Size)) *Exchanger {
	turn := int(xxhash.Sum64String(self.Address) % maxFirstTurn)
	return &Exchanger{
		queryClient: executeClient(memory), executors: executor.NewDirectory(self.Address, self.Zone, turn),
		usage: usage, limits: limits, suspects: suspects, log: log, onTick: onTick, selfAddress: self.Address,
		members: fleet.NewTable(fleet.DefaultPolicy(), self, seeds),
		peers:   map[string]*peer{},
		client: &http.Client{Timeout: callTimeout, Transport: respbody.Transport(memory, respbody.DecodeFactor, &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		}, callTimeout)},
	}
}

// maxFirstTurn bounds the position at which a VM begins to rotate through the
// executors. It exceeds their number.
const maxFirstTurn = 1 << 16

// SetChangeSource sets the source of the metadata changes that are served to other
// VMs. It must be called before Run.
func (e *Exchanger) SetChangeSource(source ChangeSource) { e.changes = source }

// SetPaces sets the tracker of paces. It must be called before Run.
func (e *Exchanger) SetPaces(paces PaceTracker) { e.paces = paces }

// Handler returns the path and handler of the FleetService.
func (e *Exchanger) Handler() (string, http.Handler) {
	return fleetv1connect.NewFleetServiceHandler(server{e}, connect.WithReadMaxBytes(maxMessageBytes))
}

type server struct{ exchanger *Exchanger }

// Exchange implements fleetv1connect.FleetServiceHandler.
func (s server) Exchange(_ context.Context, req *fleetv1.ExchangeRequest) (*fleetv1.ExchangeResponse, error) {
	e := s.exchanger
	now := boottime.Now()
	reports := decodeReports(now, req.Reports)
	if len(reports) == 0 {
		return e.onAlert(now, req), nil
	}
	sender := reports[0] // a VM's own report comes first, see fleet.Table.ReportsFor
	e.suspects.Merge(now, decodeSuspects(now, req.Suspects))
	resp := &fleetv1.ExchangeResponse{}
	resp.SuspectsDigest, resp.Suspects = e.suspectsFor(now, req.SuspectsDigest)
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.members.Contains(sender)
	e.merge(reports, sender.Address)
	resp.Reports = encodeReports(now, e.members.ReplyTo(sender, known))
	return resp, nil
}

// merge applies the reports that are newer than the known ones. Its caller must
// hold mu.
func (e *Exchanger) merge(reports []fleet.Report, sender string) {
	now := time.Now()
	for _, r := range e.members.Merge(reports, sender) {
		e.usage.ApplyReport(now, r)
		e.limits.ApplyReport(boottime.Now(), r)
		if e.paces != nil {
			e.paces.ApplyReport(now, boottime.Now(), r)
		}
		p := e.peer(r.Address)
		if !p.discovered {
			p.discovered = true
			e.log.Event("vm_joined").Str("peer", r.Address).Str("peer_zone", r.Zone).Send()
		}
	}
}

func (e *Exchanger) peer(address string) *peer {
	p := e.peers[address]
	if p == nil {
		p = &peer{client: fleetv1connect.NewFleetServiceClient(e.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))}
		e.peers[address] = p
	}
	return p
}

// Run exchanges reports until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	t := time.NewTicker(ReportInterval)
	defer t.Stop()
	for {
		e.tick(ctx, false)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Rank returns this VM's position in an order of all VMs that depends on name,
// such as the ID of an upstream, and is the same on all VMs with the same members.
func (e *Exchanger) Rank(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.Rank(name)
}

// ZoneSizes returns the number of known VMs of each zone, with this one.
func (e *Exchanger) ZoneSizes() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.ZoneSizes()
}

// Leave starts calls that notify other VMs that this VM stops. It doesn't wait for
// them.
func (e *Exchanger) Leave(ctx context.Context) { e.tick(ctx, true) }

func (e *Exchanger) tick(ctx context.Context, leaving bool) {
	now := boottime.Now()
	state := fleet.State{Leaving: leaving, Usage: e.usage.Tick(time.Now(), now), Limits: e.limits.Tick(now)}
	if e.paces != nil {
		state.Paces = e.paces.Tick(time.Now(), now)
	}
	state.Isolated = e.queries != nil && !e.queries.AcceptsQueries()
	e.suspects.Tick(now)
	e.mu.Lock()
	e.members.UpdateSelf(now, state)
	for _, addr := range e.members.Expire(now) {
		e.usage.RemoveVM(addr)
		e.limits.RemoveVM(addr)
		delete(e.peers, addr)
		e.log.Event("vm_forgotten").Str("peer", addr).Send()
	}
	for _, target := range e.members.Targets(now) {
		p := e.peer(target.Address)
		if p.callInFlight {
			continue
		}
		p.callInFlight = true
		req := &fleetv1.ExchangeRequest{Reports: encodeReports(now, e.members.ReportsFor(target.Address, target.RelayScope))}
		req.SuspectsDigest, req.Suspects = e.suspectsFor(now, p.suspectsDigest)
		go e.call(ctx, target.Address, p, req)
	}
	size := e.updateSize(now)
	e.chooseReaders(now)
	e.mu.Unlock()
	e.onTick(size)
}

// updateSize updates the executors and the numbers that limits are divided by. The
// caller must hold mu.
func (e *Exchanger) updateSize(now time.Duration) Size {
	byZone := e.members.Executors(now)
	e.executors.Update(time.Now(), executor.VMs{Executors: byZone, Helpers: e.members.Helpers(now), OwnZone: e.members.ZoneSize()})
	size := Size{VMs: e.members.Size()}
	for _, list := range byZone {
		size.Executors += len(list)
		size.IsExecutor = size.IsExecutor || slices.Contains(list, e.selfAddress)
	}
	if size != e.fleetSize {
		e.fleetSize = size
		e.log.Event("fleet_resized").Int("vms", size.VMs).Int("executors", size.Executors).
			Bool("is_executor", size.IsExecutor).Send()
	}
	return size
}

// StartDraining makes other VMs send this one no more queries.
func (e *Exchanger) StartDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members.SetDraining()
}

func (e *Exchanger) call(ctx context.Context, address string, p *peer, req *fleetv1.ExchangeRequest) {
	resp, err := p.client.Exchange(ctx, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	p.callInFlight = false
	if err != nil {
		e.members.MarkFailed(boottime.Now(), address)
		if !p.callFailed {
			e.log.Event("peer_lost").Str("peer", address).Str("error", err.Error()).Send()
		}
		p.callFailed = true
		return
	}
	if p.callFailed {
		e.log.Event("peer_regained").Str("peer", address).Send()
	}
	p.callFailed = false
	now := boottime.Now()
	e.suspects.Merge(now, decodeSuspects(now, resp.Suspects))
	p.suspectsDigest = resp.SuspectsDigest
	e.merge(decodeReports(now, resp.Reports), address)
}

package fleetrpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/fleet"
	"ryecourse.example/ryecourse/internal/eventlog"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
	"ryecourse.example/ryecourse/internal/gen/fleet/v1/fleetv1connect"
)

// UsageTracker is what reports are made of, and what they are for.
type UsageTracker interface {
	// Tick returns what to tell the other VMs.
	Tick(now time.Time, bootNow time.Duration) map[uint32]fleet.Usage
	// ApplyReport takes in a report of another VM.
	ApplyReport(now time.Time, r fleet.Report)
	// RemoveVM drops a VM that has left.
	RemoveVM(address string)
}

const (
	// ReportInterval is the time between two reports of a VM. A customer at many times
	// its rate is held back by then.
	ReportInterval = 250 * time.Millisecond
	// callTimeout bounds one exchange; links of a region take milliseconds.
	callTimeout = 400 * time.Millisecond
	// idleTimeout is how long the connection to a peer is kept.
	idleTimeout = 30 * time.Second
)

// Exchanger exchanges reports with the other VMs.
type Exchanger struct {
	usage  UsageTracker
	log    *eventlog.Log
	client *http.Client
	onTick func(vms int)

	mu    sync.Mutex
	table *fleet.Table
	peers map[string]*peer
	size  int
	self  string
	// readers are the VMs that read the metadata store for this one; none if this
	// VM reads it itself.
	readers []string
	changes ChangeSource
}

// peer is another VM as this one calls it.
type peer struct {
	client  fleetv1connect.FleetServiceClient
	calling bool
	lost    bool
	seen    bool
}

// New returns a link. sized is called with each tick and gets the number of
// VMs that limits are divided by.
func New(self fleet.Report, seeds []string, usage UsageTracker, log *eventlog.Log, onTick func(vms int)) *Exchanger {
	return &Exchanger{
		usage: usage, log: log, onTick: onTick, self: self.Address,
		table: fleet.NewTable(fleet.DefaultPolicy(), self, seeds),
		peers: map[string]*peer{},
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
	}
}

// SetChangeSource makes what this VM knows from the metadata store available to others.
// It is called before Run.
func (l *Exchanger) SetChangeSource(k ChangeSource) { l.changes = k }

// Handler returns the path and handler of the link's own side.
func (l *Exchanger) Handler() (string, http.Handler) {
	return fleetv1connect.NewFleetServiceHandler(server{l})
}

type server struct{ exchanger *Exchanger }

// Exchange implements fleetv1connect.FleetServiceHandler.
func (s server) Exchange(_ context.Context, req *fleetv1.ExchangeRequest) (*fleetv1.ExchangeResponse, error) {
	l := s.exchanger
	now := boottime.Now()
	reports := decodeReports(now, req.Reports)
	if len(reports) == 0 {
		return &fleetv1.ExchangeResponse{}, nil
	}
	caller := reports[0]
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.table.Contains(caller)
	l.merge(reports, caller.Address)
	return &fleetv1.ExchangeResponse{Reports: encodeReports(now, l.table.ReplyTo(caller, known))}, nil
}

// merge takes in reports. The caller holds mu.
func (l *Exchanger) merge(reports []fleet.Report, sender string) {
	now := time.Now()
	for _, r := range l.table.Merge(reports, sender) {
		l.usage.ApplyReport(now, r)
		p := l.peer(r.Address)
		if !p.seen {
			p.seen = true
			l.log.Event("vm_joined").Str("peer", r.Address).Str("peer_zone", r.Zone).Send()
		}
	}
}

func (l *Exchanger) peer(address string) *peer {
	p := l.peers[address]
	if p == nil {
		p = &peer{client: fleetv1connect.NewFleetServiceClient(l.client, "http://"+address)}
		l.peers[address] = p
	}
	return p
}

// Run exchanges reports until ctx ends.
func (l *Exchanger) Run(ctx context.Context) {
	t := time.NewTicker(ReportInterval)
	defer t.Stop()
	for {
		l.tick(ctx, false)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Rank returns this VM's place in an order of all VMs that follows from a name.
func (l *Exchanger) Rank(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Rank(name)
}

// Leave tells the others that this VM stops.
func (l *Exchanger) Leave(ctx context.Context) { l.tick(ctx, true) }

func (l *Exchanger) tick(ctx context.Context, leaving bool) {
	now := boottime.Now()
	usage := l.usage.Tick(time.Now(), now)
	l.mu.Lock()
	l.table.UpdateSelf(now, usage, leaving)
	for _, addr := range l.table.Expire(now) {
		l.usage.RemoveVM(addr)
		delete(l.peers, addr)
		l.log.Event("vm_forgotten").Str("peer", addr).Send()
	}
	for _, target := range l.table.Targets(now) {
		p := l.peer(target.Address)
		if p.calling {
			continue
		}
		p.calling = true
		req := &fleetv1.ExchangeRequest{Reports: encodeReports(now, l.table.ReportsFor(target.Address, target.RelayScope))}
		go l.call(ctx, target.Address, p, req)
	}
	n := l.table.Size()
	if n != l.size {
		l.size = n
		l.log.Event("fleet_resized").Int("vms", n).Send()
	}
	l.chooseReaders(now)
	l.mu.Unlock()
	l.onTick(n)
}

func (l *Exchanger) call(ctx context.Context, address string, p *peer, req *fleetv1.ExchangeRequest) {
	resp, err := p.client.Exchange(ctx, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	p.calling = false
	if err != nil {
		l.table.MarkFailed(boottime.Now(), address)
		if !p.lost {
			l.log.Event("peer_lost").Str("peer", address).Str("error", err.Error()).Send()
		}
		p.lost = true
		return
	}
	if p.lost {
		l.log.Event("peer_regained").Str("peer", address).Send()
	}
	p.lost = false
	l.merge(decodeReports(boottime.Now(), resp.Reports), address)
}

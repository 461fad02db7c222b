package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/configservice"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
	"ryecourse.example/ryecourse/internal/peer"
)

const (
	// maxPeerCalls is the maximum number of concurrent peer calls.
	maxPeerCalls = 64
	// maxQueuedPeerCalls is the maximum number of peer calls that wait for a
	// worker. An unresponsive peer occupies a worker for a second per call. Calls
	// beyond the queue are dropped; later calls make up for them.
	maxQueuedPeerCalls = 256
	// maxPlatformReads is the maximum number of concurrent platform reads,
	// including long polls.
	maxPlatformReads = 16
)

// Self identifies this process.
type Self struct {
	Fleet       string
	VM          membership.VM
	Incarnation uint64
}

// Deps are the dependencies of a Control.
type Deps struct {
	Self          Self
	ConfigService *configservice.Client
	PeerClient    *peer.Client
	Disseminator  *dissemination.Disseminator
	Quota         *quota.Manager
	Router        *routing.Router
	Trail         *audit.Trail
	Log           zerolog.Logger
	// BeforePublish is called on the loop before a new View is published, so that
	// all components are prepared for the view before traffic uses it.
	BeforePublish func(now time.Time, v *View)
}

// Control is the control state of a daemon. The control goroutine owns its
// fields, except State and fetchPosted, which are safe for concurrent use.
type Control struct {
	State State

	deps          Deps
	loop          *Loop
	peerCalls     pond.Pool
	platformReads pond.Pool

	// listHistory and fileSetHistory hold the recent states against which
	// changes are computed for peers.
	listHistory    *history[uint64, *membership.List]
	fileSetHistory *history[string, *catalog.FileSet]

	serving bool
	startup startup
	// noticePending holds the peer addresses with a notice queued or in flight.
	noticePending map[string]bool
	fetchedAt     time.Time
	// slowTickAt is the time at which slowTick last ran its work.
	slowTickAt time.Time

	// fetchPosted is set while a token fetch is queued on the loop.
	fetchPosted atomic.Bool
}

// New returns a Control that is not running yet.
func New(deps Deps) *Control {
	return &Control{
		deps:          deps,
		loop:          NewLoop(),
		peerCalls:     pond.NewPool(maxPeerCalls, pond.WithQueueSize(maxQueuedPeerCalls), pond.WithNonBlocking(true)),
		platformReads: pond.NewPool(maxPlatformReads),

		listHistory:    newHistory[uint64, *membership.List](),
		fileSetHistory: newHistory[string, *catalog.FileSet](),
		noticePending:  make(map[string]bool),
	}
}

// Run runs the control goroutine until the context ends, and then stops the
// worker pools.
func (c *Control) Run(ctx context.Context) {
	c.loop.Run(ctx, c)
	c.peerCalls.Stop()
	c.platformReads.Stop()
}

// Call runs f on the control goroutine and waits for it. It returns false if the
// context or the loop ended before f began.
func (c *Control) Call(ctx context.Context, f func(now time.Time)) bool {
	return c.loop.Call(ctx, f)
}

// callPeer queues a peer call. It returns false if the queue is full and the call
// was dropped.
func (c *Control) callPeer(f func()) bool {
	if err := c.peerCalls.Go(f); err != nil {
		c.deps.Log.Debug().Err(err).Msg("peer call dropped")
		return false
	}
	return true
}

// slowTick ticks the disseminator and the quota manager. They tick less often
// than the loop: the quota manager computes rates from the requests between two
// of its ticks.
func (c *Control) slowTick(now time.Time) {
	if now.Sub(c.slowTickAt) < quota.TickInterval-tickInterval/2 {
		return
	}
	c.slowTickAt = now
	c.runDisseminationActions(c.deps.Disseminator.Tick(now))
	c.runQuotaActions(c.deps.Quota.Tick(now))
}

// Tick implements Ticker.
func (c *Control) Tick(now time.Time) {
	c.slowTick(now)
	if c.serving {
		c.deps.Router.ConfirmView(now)
		c.State.confirm(now)
	}
	c.runRouterActions(c.deps.Router.Tick(now))
	c.checkStartup(now)
}

// Paused implements Ticker. The disseminator detects the pause as well and decides
// when the daemon may serve again.
func (c *Control) Paused(now time.Time, pause time.Duration) {
	c.deps.Trail.Add(audit.Entry{
		Time: now, Kind: "process_paused", Subject: c.deps.Self.VM.ID, Cause: "no tick for " + pause.String(),
	})
	c.State.markStale()
	c.runDisseminationActions(c.deps.Disseminator.Tick(now))
}

// publish publishes a new view once there are a catalog and a VM list. The quota
// manager, the router and the connection pool are updated first.
func (c *Control) publish(now time.Time) {
	cat, list := c.deps.Disseminator.Catalog(), c.deps.Disseminator.List()
	if cat == nil || list == nil {
		return
	}
	v := &View{Catalog: cat, List: *list}
	c.deps.Router.Update(now, v.Catalog, v.List)
	c.deps.BeforePublish(now, v)
	c.State.view.Store(v)
}

// HandOverSlots releases this daemon's slots and hands them over to their
// successors. It must be called on the control goroutine.
func (c *Control) HandOverSlots(now time.Time) { c.runQuotaActions(c.deps.Quota.Leave(now)) }

// ReturnBorrowedShares returns the shares that this daemon has borrowed to their lenders.
// It must be called on the control goroutine, after the last request.
func (c *Control) ReturnBorrowedShares(now time.Time) { c.runQuotaActions(c.deps.Quota.Close(now)) }

// StopPeerCalls stops accepting peer calls, and waits until the accepted ones have
// ended or the context ends.
func (c *Control) StopPeerCalls(ctx context.Context) {
	select {
	case <-c.peerCalls.Stop().Done():
	case <-ctx.Done():
	}
}

func (c *Control) sender() *peerv1.Sender {
	return &peerv1.Sender{
		Fleet:       c.deps.Self.Fleet,
		Vm:          c.deps.Self.VM.ID,
		Incarnation: c.deps.Self.Incarnation,
		Zone:        c.deps.Self.VM.Zone,
	}
}

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
	// maxPeerCalls is the number of peer calls in progress.
	maxPeerCalls = 64
	// maxQueuedPeerCalls is the number of peer calls that wait for one in progress to
	// end. Peers that don't answer hold up calls for a second each; what comes
	// beyond the queue is dropped and made up for later.
	maxQueuedPeerCalls = 256
	// maxPlatformReads is the number of reads of the platform in progress, waiting
	// watches included.
	maxPlatformReads = 16
)

// Self identifies this process.
type Self struct {
	Fleet       string
	VM          membership.VM
	Incarnation uint64
}

// Deps are the parts that a Control uses.
type Deps struct {
	Self         Self
	Platform     *configservice.Client
	PeerClient   *peer.Client
	Disseminator *dissemination.Disseminator
	Quota        *quota.Manager
	Router       *routing.Router
	Trail        *audit.Trail
	Log          zerolog.Logger
	// BeforePublish is called on the loop before a new view is published, so that
	// traffic finds all parts prepared for it.
	BeforePublish func(now time.Time, v *View)
}

// Control is the control state of a daemon. Its fields belong to the loop.
type Control struct {
	State State

	deps          Deps
	loop          *Loop
	peerCalls     pond.Pool
	platformReads pond.Pool

	// listHistory and fileSets are the past states from which changes are told.
	listHistory    *history[uint64, *membership.List]
	fileSetHistory *history[string, *catalog.FileSet]

	serving bool
	startup startup
	// noticePending holds the addresses to which a notice is on its way.
	noticePending map[string]bool
	fetchedAt     time.Time
	// slowTickAt is the time of the last slowTick.
	slowTickAt time.Time

	// fetchPosted tells that a fetch of tokens is posted to the loop.
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

// Run owns the control state until the context ends.
func (c *Control) Run(ctx context.Context) {
	c.loop.Run(ctx, c)
	c.peerCalls.Stop()
	c.platformReads.Stop()
}

// Call runs f on the control goroutine and waits for it, until the context ends.
func (c *Control) Call(ctx context.Context, f func(now time.Time)) bool {
	return c.loop.Call(ctx, f)
}

// callPeer runs a peer call. It returns false when it was dropped.
func (c *Control) callPeer(f func()) bool {
	if err := c.peerCalls.Go(f); err != nil {
		c.deps.Log.Debug().Err(err).Msg("peer call dropped")
		return false
	}
	return true
}

// slowTick ticks what counts on longer intervals than the loop's own: the quota
// manager reads rates off the requests between two of its ticks.
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

// Paused implements Ticker. The spread state machine sees the pause too, and
// decides when the daemon may serve again.
func (c *Control) Paused(now time.Time, pause time.Duration) {
	c.deps.Trail.Add(audit.Entry{
		Time: now, Kind: "process_paused", Subject: c.deps.Self.VM.ID, Cause: "no tick for " + pause.String(),
	})
	c.State.markStale()
	c.runDisseminationActions(c.deps.Disseminator.Tick(now))
}

// publish gives traffic a new view once there is a catalog and a VM list. The
// quota manager, the router and the connection pool know it before.
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

// HandOverSlots gives up this daemon's slots and hands them over. It runs on the
// control goroutine.
func (c *Control) HandOverSlots(now time.Time) { c.runQuotaActions(c.deps.Quota.Leave(now)) }

// ReturnLoans returns what this daemon has borrowed. It runs on the control goroutine
// after the last request.
func (c *Control) ReturnLoans(now time.Time) { c.runQuotaActions(c.deps.Quota.Close(now)) }

// StopPeerCalls waits for the peer calls in progress until the context ends. No call
// begins afterwards.
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

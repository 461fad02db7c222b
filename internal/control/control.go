package control

import (
	"context"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
	"ryecourse.example/ryecourse/internal/peer"
	"ryecourse.example/ryecourse/internal/platform"
)

// maxCalls is the number of peer calls in progress.
const maxCalls = 32

// Self identifies this process.
type Self struct {
	Fleet       string
	VM          membership.VM
	Incarnation uint64
}

// Deps are the parts that a Control uses.
type Deps struct {
	Self     Self
	Platform *platform.Client
	Peers    *peer.Client
	Quota    *quota.Manager
	Router   *routing.Router
	Trail    *audit.Trail
	Log      zerolog.Logger
	// Changed is called on the loop after a new view was published.
	Changed func(now time.Time, v *View)
}

// Control is the control state of a daemon. Its fields belong to the loop.
type Control struct {
	State State

	deps  Deps
	loop  *Loop
	calls pond.Pool

	tracker  membership.Tracker
	current  *catalog.Catalog
	files    []catalog.Published // of the current catalog
	draining bool
}

// New returns a Control that is not running yet.
func New(deps Deps) *Control {
	return &Control{
		deps:  deps,
		loop:  NewLoop(),
		calls: pond.NewPool(maxCalls),
	}
}

// Run owns the control state until the context ends.
func (c *Control) Run(ctx context.Context) {
	go c.watchConfig(ctx)
	go c.watchList(ctx)
	c.loop.Run(ctx, c)
	c.calls.Stop()
}

// Post runs f on the control goroutine.
func (c *Control) Post(f func(now time.Time)) { c.loop.Post(f) }

// Call runs f on the control goroutine and waits for it.
func (c *Control) Call(f func(now time.Time)) bool { return c.loop.Call(f) }

// Tick implements Ticker.
func (c *Control) Tick(now time.Time) {
	c.carryOut(c.deps.Quota.Tick(now))
	c.deps.Router.Confirm(now)
	c.carryOutRouting(c.deps.Router.Tick(now))
	c.State.confirm(now)
}

// Paused implements Ticker.
func (c *Control) Paused(now time.Time, pause time.Duration) {
	c.deps.Trail.Add(audit.Entry{
		Time:    now,
		Kind:    "process_paused",
		Subject: c.deps.Self.VM.ID,
		Cause:   fmt.Sprintf("no tick for %d ms", pause.Milliseconds()),
	})
}

// onFiles takes the whole folder as read from the platform or a peer.
func (c *Control) onFiles(now time.Time, version uint64, files []catalog.Published) {
	if c.current != nil && version <= c.current.Version {
		return
	}
	next, problems := catalog.Build(version, files)
	for _, p := range problems {
		c.deps.Trail.Add(audit.Entry{
			Time: now, Kind: "config_rejected", Subject: p.File, Cause: p.Error(), Version: version,
			Publisher: publisherOf(files, p.File),
		})
	}
	changes := catalog.Diff(c.current, next)
	details := make([]string, 0, len(changes))
	for _, ch := range changes {
		details = append(details, ch.String())
	}
	c.deps.Trail.Add(audit.Entry{
		Time: now, Kind: "config_accepted", Subject: next.Digest, Cause: "a newer folder", Version: version, Details: details,
	})
	c.current, c.files = next, files
	c.carryOut(c.deps.Quota.OnCatalog(now, next))
	c.publish(now)
}

func publisherOf(files []catalog.Published, name string) string {
	for _, f := range files {
		if f.Name == name {
			return f.Publisher
		}
	}
	return ""
}

// onList takes a VM list that was read or confirmed at the given time.
func (c *Control) onList(now time.Time, list membership.List, confirmedAt time.Time) {
	before := c.tracker.List()
	if !c.tracker.OnList(&list, confirmedAt) {
		return
	}
	c.carryOut(c.deps.Quota.OnList(now, c.tracker.List(), confirmedAt))
	if before == nil || before.Revision != list.Revision {
		c.deps.Trail.Add(audit.Entry{
			Time: now, Kind: "vm_list", Subject: c.deps.Self.Fleet, Cause: "a newer list", Version: list.Revision,
		})
		c.publish(now)
	}
}

func (c *Control) publish(now time.Time) {
	list := c.tracker.List()
	if c.current == nil || list == nil {
		return
	}
	v := &View{Catalog: c.current, List: *list}
	c.deps.Router.Update(now, v.Catalog, v.List)
	c.deps.Changed(now, v)
	c.State.view.Store(v)
	c.State.confirm(now)
}

// Leave hands back what this daemon holds. It runs on the control goroutine.
func (c *Control) Leave(now time.Time) {
	c.draining = true
	c.carryOut(c.deps.Quota.Leave(now))
}

// ListAge returns the revision and age of the VM list. It runs on the control
// goroutine.
func (c *Control) ListAge(now time.Time) (uint64, time.Duration) {
	list := c.tracker.List()
	if list == nil {
		return 0, 0
	}
	return list.Revision, c.tracker.Age(now)
}

func (c *Control) sender() *peerv1.Sender {
	return &peerv1.Sender{
		Fleet:       c.deps.Self.Fleet,
		Vm:          c.deps.Self.VM.ID,
		Incarnation: c.deps.Self.Incarnation,
		Zone:        c.deps.Self.VM.Zone,
	}
}

func (c *Control) digest(now time.Time) *peerv1.Digest {
	q := c.deps.Quota.Digest(now)
	d := &peerv1.Digest{ListRevision: q.Revision, Settled: q.Settled, Draining: c.draining || q.Draining}
	if c.current != nil {
		d.ConfigVersion, d.ConfigDigest = c.current.Version, c.current.Digest
	}
	if c.tracker.List() != nil {
		d.ListAgeMs = c.tracker.Age(now).Milliseconds()
	}
	return d
}

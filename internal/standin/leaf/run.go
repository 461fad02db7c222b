package leaf

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// sampleInterval is the interval at which leaf states are recorded for delayed
// reports.
const sampleInterval = 100 * time.Millisecond

// RunOptions are the settings of Process.Run.
type RunOptions struct {
	// ControlAddress is the host:port of the control listener. Empty means none.
	ControlAddress string
	// SnapshotInterval is the interval between new snapshots. The leaves publish
	// each one at random times within half of the interval. Zero means never.
	SnapshotInterval time.Duration
}

// Run starts all leaves and serves until ctx ends or the control listener fails.
func (p *Process) Run(ctx context.Context, o RunOptions) error {
	for _, l := range p.Leaves {
		if err := l.Start(); err != nil {
			return err
		}
	}
	defer p.stop()
	failed := make(chan error, 1)
	if o.ControlAddress != "" {
		server := &fasthttp.Server{Handler: p.ServeControl, Name: "standin-control"}
		go func() { failed <- server.ListenAndServe(o.ControlAddress) }()
	}
	if o.SnapshotInterval > 0 {
		go p.switchSnapshots(ctx, o.SnapshotInterval)
	}
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case now := <-tick.C:
			for _, l := range p.Leaves {
				l.Sample(now)
			}
		}
	}
}

func (p *Process) stop() {
	for _, l := range p.Leaves {
		l.Crash()
	}
}

// switchSnapshots publishes a new snapshot at each interval. It derives the IDs
// from the wall clock, so that several processes publish the same snapshots. The
// number of shards doesn't change.
func (p *Process) switchSnapshots(ctx context.Context, every time.Duration) {
	for {
		now := time.Now()
		next := now.Truncate(every).Add(every)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		id := "s" + strconv.FormatInt(next.UnixNano()/int64(every), 10)
		for _, l := range p.Leaves {
			l.publishNext(id, every/2)
		}
	}
}

// publishNext publishes a snapshot with as many shards as the newest one, after
// a random delay below spread.
func (l *Leaf) publishNext(id string, spread time.Duration) {
	l.mu.Lock()
	held := l.snapshots
	l.mu.Unlock()
	if len(held) == 0 {
		return
	}
	next := Snapshot{ID: id, Shards: held[0].Shards}
	time.AfterFunc(l.PublishDelay(spread), func() { l.Publish(next) })
}

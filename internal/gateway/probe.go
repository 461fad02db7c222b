package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/upstreamhttp"
)

// Probe opens a connection to a random instance and reports whether it works. The
// connection is kept for requests.
func (g *Gateway) Probe(ctx context.Context) bool {
	instances := randomInstances(g.metadata.View(), 1)
	return len(instances) > 0 && g.open(ctx, instances[0])
}

// ProbeOthers opens connections to up to n random instances, other than those to which
// connections have failed since one was last opened. It returns after all of them.
func (g *Gateway) ProbeOthers(ctx context.Context, n int) {
	untried := slices.DeleteFunc(randomInstances(g.metadata.View(), math.MaxInt), func(u routetable.Upstream) bool {
		return g.reachable.IsUnopened(u.Address)
	})
	var wg sync.WaitGroup
	for _, u := range untried[:min(n, len(untried))] {
		wg.Go(func() { g.open(ctx, u) })
	}
	wg.Wait()
}

// openTime is the time after which a connection counts as opened. A link that accepts
// connections and resets them does so within a round trip.
const openTime = 10 * time.Millisecond

// open opens a connection to an instance and reports whether it works.
func (g *Gateway) open(ctx context.Context, u routetable.Upstream) bool {
	err := g.pools.Get(u).Reconnect(ctx, openTime)
	switch {
	case err == nil:
		g.reachable.Opened(time.Now())
	case errors.Is(err, upstreamhttp.ErrClosedAtOnce):
		g.reachable.OpenFailed(u.Address)
	}
	return err == nil
}

const (
	// suspicionProbes is the number of instances that are probed when the VM's links may
	// have failed. They are enough for the VM to be isolated.
	suspicionProbes = 4
	// suspicionProbeTimeout is far above the time of a handshake within the region.
	suspicionProbeTimeout = 400 * time.Millisecond
)

// probeLinks opens connections to random instances, so that a VM with few requests
// notices soon that it is isolated. Probes that hang or fail count like requests without
// a response.
func (g *Gateway) probeLinks() {
	if !g.probingLinks.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), suspicionProbeTimeout)
	var wg sync.WaitGroup
	for _, u := range randomInstances(g.metadata.View(), suspicionProbes) {
		g.reachable.Sent(time.Now(), u.ID)
		wg.Go(func() {
			if g.open(ctx, u) {
				g.reachable.Withdraw(u.ID)
			}
		})
	}
	go func() {
		defer cancel()
		wg.Wait()
		g.probingLinks.Store(false)
	}()
}

// UsableInstances returns the instances that may be sent requests.
func UsableInstances(v *metadata.View) []routetable.Upstream {
	if v == nil {
		return nil
	}
	var out []routetable.Upstream
	for _, list := range v.Upstreams {
		for _, u := range list {
			if !u.Draining && !v.Evacuated[u.Zone] {
				out = append(out, u)
			}
		}
	}
	return out
}

// randomInstances returns up to n distinct instances that may be sent requests.
func randomInstances(v *metadata.View, n int) []routetable.Upstream {
	out := UsableInstances(v)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

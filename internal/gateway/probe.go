package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Probe opens a connection to a random instance and reports whether the instance accepts
// it. The connection is kept for requests.
func (g *Gateway) Probe(ctx context.Context) bool {
	instances := randomInstances(g.metadata.View(), 1)
	return len(instances) > 0 && g.pools.Get(instances[0]).Reconnect(ctx) == nil
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
			if g.pools.Get(u).Reconnect(ctx) == nil {
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

// randomInstances returns up to n distinct instances that may be sent requests.
func randomInstances(v *metadata.View, n int) []routetable.Upstream {
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
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

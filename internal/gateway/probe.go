package gateway

import (
	"context"
	"math/rand/v2"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// Probe opens a connection to a random instance and reports whether the instance accepts
// it. The connection is kept for requests.
func (g *Gateway) Probe(ctx context.Context) bool {
	u, ok := randomInstance(g.metadata.View())
	return ok && g.pools.Get(u).Reconnect(ctx) == nil
}

// randomInstance returns an instance that may be sent requests.
func randomInstance(v *metadata.View) (routetable.Upstream, bool) {
	if v == nil {
		return routetable.Upstream{}, false
	}
	var out []routetable.Upstream
	for _, list := range v.Upstreams {
		for _, u := range list {
			if !u.Draining && !v.Evacuated[u.Zone] {
				out = append(out, u)
			}
		}
	}
	if len(out) == 0 {
		return routetable.Upstream{}, false
	}
	return out[rand.IntN(len(out))], true
}

package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// incoming is one request of a caller while it is served.
type incoming struct {
	meta     RequestInfo
	started  time.Time
	view     *metadata.View
	viewAge  time.Duration
	route    *routetable.Route
	customer *routetable.Customer
	// waitedBefore is how long the caller has waited before this attempt.
	waitedBefore time.Duration
	body         []byte
}

// rejection ends a request before it is forwarded.
type rejection struct {
	reason     Reason
	retryAfter time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := &incoming{started: time.Now(), meta: g.headers.ReadRequest(r.Header)}
	if len(r.TransferEncoding) > 0 {
		// The request may have had a length, too, which net/http removes. What
		// follows it must then not be taken for a request (RFC 9112, section 6.1).
		w.Header().Set("Connection", "close")
	}
	if rej := g.admit(in, w, r); rej != nil {
		g.refuse(w, rej.reason, rej.retryAfter)
		g.record(in, result{reason: rej.reason, status: statusOf[rej.reason]})
		return
	}
	g.forward(in, w, r)
}

// admit finds the route and the customer and takes a token of its rate.
func (g *Gateway) admit(in *incoming, w http.ResponseWriter, r *http.Request) *rejection {
	in.view, in.viewAge = g.knowledge.View(), g.knowledge.Age()
	if in.view == nil {
		return &rejection{ReasonNoConfig, otherVMRetryAfter}
	}
	stale := in.viewAge > g.policy.MaxKeyStaleness
	path, _, _ := strings.Cut(r.RequestURI, "?")
	in.route = in.view.Table.Route(r.Host, path)
	if in.route == nil {
		if stale { // a newer configuration may have the route
			return &rejection{ReasonStaleMetadata, otherVMRetryAfter}
		}
		return &rejection{reason: ReasonNoRoute}
	}
	in.waitedBefore = g.retryDetector.Observe(in.route.Name, in.meta.Timeout)
	if rej := g.authenticate(in, stale); rej != nil {
		return rej
	}
	if rej := readBody(in, w, r); rej != nil {
		return rej
	}
	if in.customer != nil {
		if ok, retryAfter := g.limiter.Admit(in.started, in.customer, in.isLate()); !ok {
			return &rejection{ReasonRateLimited, retryAfter}
		}
	}
	return nil
}

// isLate reports whether the caller has waited for longer than its route's latency
// objective.
func (in *incoming) isLate() bool {
	return in.route.Objective > 0 && in.waitedBefore >= in.route.Objective
}

func (g *Gateway) authenticate(in *incoming, stale bool) *rejection {
	if in.route.Public {
		return nil
	}
	if len(in.view.Table.Config.Customers) == 0 {
		return nil
	}
	if stale { // the key may have been withdrawn or added
		return &rejection{ReasonStaleMetadata, otherVMRetryAfter}
	}
	if in.customer = in.view.Table.Customer(in.meta.Key); in.customer == nil {
		return &rejection{reason: ReasonUnknownKey}
	}
	return nil
}

// defaultBodyBytes limits bodies where the configuration has no limit.
const defaultBodyBytes = 1 << 20

func readBody(in *incoming, w http.ResponseWriter, r *http.Request) *rejection {
	limit := int64(in.view.Table.Config.Limits.BodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return &rejection{reason: ReasonBodyTooLong}
	}
	if r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &rejection{reason: ReasonBodyTooLong}
	case err != nil:
		return &rejection{reason: ReasonBadRequest}
	}
	in.body = body
	return nil
}

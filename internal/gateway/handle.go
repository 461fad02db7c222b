package gateway

import (
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// incoming is a caller's request while it is served.
type incoming struct {
	info     RequestInfo
	started  time.Time
	view     *metadata.View
	viewAge  time.Duration
	route    *routetable.Route
	customer *routetable.Customer
	// host and path, without a query, select the route.
	host, path string
	// keyDigest is that of the customer's key; 0 without one.
	keyDigest uint64
	services  []string // by shard; nil until they are chosen
	// waitedBefore is how long the caller has waited in earlier tries of this
	// request.
	waitedBefore time.Duration
	// wasLate is set if another VM reports that the caller has waited for too long.
	wasLate bool
	body    []byte
	// conn is the caller's connection; nil for another VM's request. releaseBody returns what
	// the body holds; nil without a body, or if its proxyRequest returns it.
	conn        *connlimit.Conn
	releaseBody func()
	fingerprint Fingerprint
	// softTimeout replaces that of the route unless it is 0: another VM has used a part
	// of it.
	softTimeout time.Duration
	// maxRuns replaces the route's number of attempts unless it is 0: another VM may have
	// had some of them run.
	maxRuns int
	// wasHandedOver is set if another VM has tried to run the request, and credited it to
	// its retry budget. It isn't handed over again.
	wasHandedOver bool
	// othersAsked is set once other VMs have been asked to run the request.
	othersAsked bool
}

// refusal ends a request before it is forwarded.
type refusal struct {
	reason     Reason
	retryAfter time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := &incoming{started: time.Now(), info: g.headers.ReadRequest(r.Header), conn: connlimit.FromContext(r.Context())}
	defer in.releaseHeldBody()
	if len(r.TransferEncoding) > 0 {
		// The request may have had a Content-Length as well, which net/http removes.
		// The bytes after it must then not be parsed as another request (RFC 9112,
		// section 6.1).
		w.Header().Set("Connection", "close")
	}
	if refused := g.admit(in, w, r); refused != nil {
		if r.ContentLength != 0 && (in.body == nil || refused.reason == ReasonOverMemory) {
			closeUnread(in, w, refused.reason)
		}
		g.refuse(w, refused.reason, refused.retryAfter)
		g.record(in, requestResult{reason: refused.reason, status: statusOf[refused.reason]})
		return
	}
	g.forward(in, w, r)
}

// admit finds the route and the customer, reads the body and takes a token of
// the customer's rate. It returns nil if the request is admitted.
func (g *Gateway) admit(in *incoming, w http.ResponseWriter, r *http.Request) *refusal {
	if in.conn.IsRefused() {
		return &refusal{ReasonOverMemory, otherVMRetryAfter}
	}
	if refused := g.findRoute(in, r.Host, r.RequestURI); refused != nil {
		return refused
	}
	in.waitedBefore = g.retryDetector.Observe(in.route.Name, in.info.Timeout)
	if refused := g.authenticate(in, g.isStale(in)); refused != nil {
		return refused
	}
	if refused := g.readBody(in, w, r); refused != nil {
		return refused
	}
	if refused := g.recheck(in, r); refused != nil {
		return refused
	}
	if refused := g.refuseIfTooLate(in); refused != nil {
		return refused
	}
	in.fingerprint = fingerprintOf(r.Method, r.Host, r.RequestURI, in.customerName(), in.body)
	if left, ok := g.quarantine.Quarantined(boottime.Now(), uint64(in.fingerprint)); ok {
		return &refusal{ReasonQuarantined, left}
	}
	if in.customer != nil {
		if ok, retryAfter := g.limiter.Admit(in.started, in.customer, in.isLate()); !ok {
			return &refusal{ReasonRateLimited, retryAfter}
		}
	}
	return nil
}

// recheck decides again on a request whose body took so long that the metadata has changed.
func (g *Gateway) recheck(in *incoming, r *http.Request) *refusal {
	if r.ContentLength == 0 || g.metadata.View() == in.view && g.metadata.Age() <= g.policy.MaxKeyStaleness {
		return nil
	}
	return g.readmit(in, r)
}

// readmit finds the route and the customer of a request by the present metadata.
func (g *Gateway) readmit(in *incoming, r *http.Request) *refusal {
	in.customer, in.keyDigest, in.services = nil, 0, nil
	if refused := g.findRoute(in, r.Host, r.RequestURI); refused != nil {
		return refused
	}
	if refused := g.authenticate(in, g.isStale(in)); refused != nil {
		return refused
	}
	in.fingerprint = fingerprintOf(r.Method, r.Host, r.RequestURI, in.customerName(), in.body)
	return nil
}

// findRoute sets the metadata and the route of a request.
func (g *Gateway) findRoute(in *incoming, host, uri string) *refusal {
	in.view, in.viewAge = g.metadata.View(), g.metadata.Age()
	if in.view == nil {
		return &refusal{ReasonNoConfig, otherVMRetryAfter}
	}
	in.host, in.path = host, pathOf(uri)
	in.route = in.view.Table.Route(in.host, in.path)
	switch {
	case in.route != nil:
		return nil
	case g.isStale(in): // a newer configuration may contain the route
		return &refusal{ReasonStaleMetadata, otherVMRetryAfter}
	}
	return &refusal{reason: ReasonNoRoute}
}

// isStale reports whether the metadata is too old to refuse a request because of it.
func (g *Gateway) isStale(in *incoming) bool { return in.viewAge > g.policy.MaxKeyStaleness }

// customerName returns "" for a request without a customer.
func (in *incoming) customerName() string {
	if in.customer == nil {
		return ""
	}
	return in.customer.Name
}

// lateFraction is the part of its latency objective from which a caller that has waited
// for it in earlier tries can hardly be answered in time.
const lateFraction = 0.5

// canHardlyBeInTime reports whether the caller has waited in earlier tries for so long
// that the request can hardly be answered within its route's latency objective.
func (in *incoming) canHardlyBeInTime() bool {
	return in.wasLate || in.route.Objective > 0 && float64(in.waitedBefore) > lateFraction*float64(in.route.Objective)
}

// isLate reports whether the caller has waited for its route's latency
// objective already.
func (in *incoming) isLate() bool {
	return in.route.Objective > 0 && in.waitedBefore >= in.route.Objective
}

func (g *Gateway) authenticate(in *incoming, stale bool) *refusal {
	if in.route.Public {
		return nil
	}
	if len(in.view.Table.Config.Customers) == 0 {
		return nil
	}
	if stale { // the key may have been revoked or added
		return &refusal{ReasonStaleMetadata, otherVMRetryAfter}
	}
	if in.customer = in.view.Table.Customer(in.info.Key); in.customer == nil {
		return &refusal{reason: ReasonUnknownKey}
	}
	in.keyDigest = routetable.KeyDigest(in.info.Key)
	return nil
}

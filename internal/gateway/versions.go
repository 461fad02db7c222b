package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// difference is how this VM's configuration handles another VM's request otherwise than the
// sender's; empty if it doesn't.
type difference string

const (
	differsInRoute difference = "route"
	differsInKey   difference = "key"
)

// findRemoteRoute sets the route and the customer of another VM's request by this VM's
// configuration. Both VMs must handle the request alike, whichever configuration is newer: a
// route of the same name may lead elsewhere, and what callers of the sender have seen of a newer
// version they would lose again with the sender's next own response. A key may be unknown here
// only if this VM's configuration isn't the newer one.
func findRemoteRoute(in *incoming, r *executor.Request) difference {
	table := in.view.Table
	in.host, in.path = r.Host, r.Path
	if r.Host == "" && r.Path == "" { // Accept of an older build
		in.route = table.RouteByName(r.Route)
	} else {
		in.route = table.Route(r.Host, r.Path)
	}
	if in.route == nil || !runsAlike(in.route, r) {
		return differsInRoute
	}
	if !findRemoteCustomer(in, r) && table.Config.Version > r.ConfigVersion {
		return differsInKey
	}
	return ""
}

// findRemoteCustomer sets the customer of another VM's request and reports whether this VM's
// configuration would admit it with the caller's key.
func findRemoteCustomer(in *incoming, r *executor.Request) bool {
	table := in.view.Table
	if r.Customer == "" {
		return in.route.Public || len(table.Config.Customers) == 0
	}
	if in.customer = table.CustomerByName(r.Customer); in.customer == nil {
		in.customer = &routetable.Customer{Name: r.Customer}
		return false
	}
	return r.KeyDigest == 0 || in.customer.HoldsKey(r.KeyDigest)
}

// runsAlike reports whether a route runs requests as the sender's version of its route does.
func runsAlike(route *routetable.Route, r *executor.Request) bool {
	if r.ExecutionFingerprint == 0 {
		return route.Fingerprint() == r.RouteFingerprint
	}
	return route.ExecutionFingerprint() == r.ExecutionFingerprint
}

// rejectVersion rejects another VM's request that this VM would handle otherwise.
func (g *Gateway) rejectVersion(in *incoming, r *executor.Request, d difference) error {
	g.metrics.rejectedExecutions(rejectedOtherVersion).Inc()
	e := g.log.Event("query_rejected").Str("request", r.ID).Str("route", r.Route).Str("reason", rejectedOtherVersion).
		Str("differs_in", string(d)).Int64("config_version", in.view.Table.Config.Version).Int64("sender_config_version", r.ConfigVersion)
	if in.route != nil {
		e.Str("own_route", in.route.Name)
	}
	e.Send()
	if in.view.Table.Config.Version < r.ConfigVersion {
		g.metadata.Refresh()
	}
	return &RejectedError{Reason: rejectedOtherVersion}
}

// versionWait is the time in which VMs that have requested a read of the store have its newest
// configuration.
const versionWait = 120 * time.Millisecond

// awaitOtherVersion waits until VMs whose configurations differ may have read the newest one. It
// returns false if the request has no time for that, or has ended.
func (g *Gateway) awaitOtherVersion(ctx context.Context, in *incoming) bool {
	if g.timeout(in)-time.Since(in.started) < 2*versionWait {
		return false
	}
	timer := time.NewTimer(versionWait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// targetOf returns the host and the path, without a query, of a request with the head.
func targetOf(head []byte) (host, path string, err error) {
	r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(head), strings.NewReader("\r\n"))))
	if err != nil {
		return "", "", err
	}
	return r.Host, pathOf(r.RequestURI), nil
}

// pathOf returns a request's URI without its query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")
	return path
}

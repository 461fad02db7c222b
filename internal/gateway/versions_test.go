package gateway

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/executor"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/eventlog"
)

const (
	senderVersion = 5
	testHost      = "shop.example"
	testPath      = "/o/lo/x"
)

// newVersionsGateway returns a gateway with a version of the configuration.
func newVersionsGateway(version int64, routes []routetable.Route, customers []routetable.Customer) (*Gateway, *strings.Builder) {
	logs := &strings.Builder{}
	table := routetable.NewTable(routetable.Config{Version: version, Routes: routes, Customers: customers})
	return &Gateway{
		drain: newDrain(), metadata: fixedMetadata{&metadata.View{Table: table}}, quarantine: noQuarantine{},
		metrics: NewMetrics(metrics.NewSet()), log: eventlog.New(logs, "vm"), policy: Policy{MaxKeyStaleness: time.Minute},
	}, logs
}

// oldRoute is the sender's route of the request.
func oldRoute() routetable.Route {
	return routetable.Route{
		Name: "o", Host: testHost, Prefix: "/o/", Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond, Public: true,
		Targets: []routetable.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}},
	}
}

// changedRoute returns the sender's route with a change.
func changedRoute(change func(r *routetable.Route)) routetable.Route {
	r := oldRoute()
	change(&r)
	return r
}

// TestRequestIsRunAsItsSenderWould guards against requests of another VM that are run by a
// service, or as often, as only the version of one of the two VMs lets them. It checks all
// changes of a route with the newer version on either VM.
func TestRequestIsRunAsItsSenderWould(t *testing.T) {
	type routes = []routetable.Route
	sharded := func(s routetable.Sharded) routes {
		return routes{changedRoute(func(r *routetable.Route) { r.Targets, r.Sharded = nil, &s })}
	}
	shards := routetable.Sharded{Shards: []string{"s0", "s1"}, TopK: 5, MinShare: 0.5}
	for name, test := range map[string]struct {
		sender, receiver routes
		runs             bool
	}{
		"no change":      {routes{oldRoute()}, routes{oldRoute()}, true},
		"another name":   {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Name = "p" })}, true},
		"times":          {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Timeout, r.Objective = 2*r.Timeout, 0 })}, true},
		"weights":        {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Targets[0].Weight = 1 })}, true},
		"priority":       {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Priority = 3 })}, true},
		"weight of 0":    {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Targets[1].Weight = 0 })}, false},
		"service":        {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Targets[1].Service = "c" })}, false},
		"kind":           {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Idempotent = true })}, false},
		"attempts":       {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Attempts = 1 })}, false},
		"needs a key":    {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Public = false })}, false},
		"removed":        {routes{oldRoute()}, nil, false},
		"another prefix": {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Prefix = "/p/" })}, false},
		"another host":   {routes{oldRoute()}, routes{changedRoute(func(r *routetable.Route) { r.Host = "b.example" })}, false},
		"split, same service": {routes{oldRoute()}, routes{
			changedRoute(func(r *routetable.Route) { r.Targets[0].Service = "c" }),
			changedRoute(func(r *routetable.Route) { r.Name, r.Prefix = "o-lo", "/o/lo/" }),
		}, true},
		"split, other service": {routes{oldRoute()}, routes{
			oldRoute(),
			changedRoute(func(r *routetable.Route) { r.Name, r.Prefix, r.Targets[0].Service = "o-lo", "/o/lo/", "c" }),
		}, false},
		"split, other kind": {routes{oldRoute()}, routes{
			oldRoute(),
			changedRoute(func(r *routetable.Route) { r.Name, r.Prefix, r.Idempotent = "o-lo", "/o/lo/", true }),
		}, false},
		"same shards":         {sharded(shards), sharded(shards), true},
		"sharded by now":      {routes{oldRoute()}, sharded(shards), false},
		"shards":              {sharded(shards), sharded(routetable.Sharded{Shards: []string{"s0", "s2"}, TopK: 5, MinShare: 0.5}), false},
		"shards, other names": {sharded(shards), sharded(routetable.Sharded{Shards: []string{"s0s", "1"}, TopK: 5, MinShare: 0.5}), false},
		"records":             {sharded(shards), sharded(routetable.Sharded{Shards: shards.Shards, TopK: 6, MinShare: 0.5}), false},
		"least share":         {sharded(shards), sharded(routetable.Sharded{Shards: shards.Shards, TopK: 5, MinShare: 1}), false},
	} {
		t.Run(name, func(t *testing.T) {
			expectRunsAlike(t, test.sender, test.receiver, test.runs)
			expectRunsAlike(t, test.receiver, test.sender, test.runs)
		})
	}
}

// expectRunsAlike checks what a VM that has the receiver's routes does with a request of one that
// has the sender's.
func expectRunsAlike(t *testing.T, sender, receiver []routetable.Route, runs bool) {
	t.Helper()
	route := routetable.NewTable(routetable.Config{Routes: sender}).Route(testHost, testPath)
	if route == nil {
		return // the sender refuses the request
	}
	for _, version := range []int64{senderVersion - 1, senderVersion + 1} {
		for build, r := range map[string]executor.Request{
			"this build": {RouteFingerprint: route.Fingerprint(), ExecutionFingerprint: route.ExecutionFingerprint()},
			"old build":  {RouteFingerprint: route.Fingerprint()},
		} {
			g, logs := newVersionsGateway(version, receiver, nil)
			r.ID, r.Route, r.Host, r.Path, r.ConfigVersion = "id", route.Name, testHost, testPath, senderVersion
			in := g.remoteIncoming(&r)
			err := g.checkRemote(in, &r)
			if err := g.log.Close(); err != nil {
				t.Error(err)
			}
			switch {
			case build == "old build" && (runs || sameButForKeys(route, in.route)): // its fingerprint is of other fields
			case runs && err != nil:
				t.Errorf("version %d, %s: %v", version, build, err)
			case !runs && !isOtherVersion(err):
				t.Errorf("version %d, %s: the error is %v, and the route %v", version, build, err, in.route)
			case !runs && !strings.Contains(logs.String(), `"sender_config_version":5`):
				t.Errorf("the versions aren't logged: %s", logs)
			}
		}
	}
}

// sameButForKeys reports whether the routes differ at most in whether they need a key.
func sameButForKeys(a, b *routetable.Route) bool {
	return b != nil && a.Public != b.Public && a.Fingerprint() == b.Fingerprint()
}

func isOtherVersion(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && rejected.Reason == rejectedOtherVersion
}

// TestAcceptOfAnOldBuild checks that an Accept call without a path, as older builds send it, is
// answered by the route of that name, and only if it is the same.
func TestAcceptOfAnOldBuild(t *testing.T) {
	route := oldRoute()
	for name, test := range map[string]struct {
		receiver routetable.Route
		accepts  bool
	}{
		"same":    {oldRoute(), true},
		"service": {changedRoute(func(r *routetable.Route) { r.Targets[0].Service = "c" }), false},
		"removed": {changedRoute(func(r *routetable.Route) { r.Name = "p" }), false},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newVersionsGateway(senderVersion+1, []routetable.Route{test.receiver}, nil)
			r := executor.Request{ID: "id", Route: "o", RouteFingerprint: route.Fingerprint(), ConfigVersion: senderVersion}
			if err := g.checkRemote(g.remoteIncoming(&r), &r); (err == nil) != test.accepts {
				t.Errorf("the error is %v, want acceptance %v", err, test.accepts)
			}
		})
	}
}

// TestTargetOfAHead checks the host and the path that are read from the bytes that upstreams get.
func TestTargetOfAHead(t *testing.T) {
	for head, want := range map[string]string{
		"GET /o/lo/x?y=/z HTTP/1.1\r\nHost: Shop.Example:80\r\nA: b\r\n": "Shop.Example:80 /o/lo/x",
		"POST /o/%2e%2e/x HTTP/1.1\r\nHost: h\r\n":                       "h /o/%2e%2e/x",
		"GET /x HTTP/1.1\r\nA: b\r\n":                                    " /x",
		"GET /x":                                                         "error",
		"":                                                               "error",
	} {
		host, path, err := targetOf([]byte(head))
		got := host + " " + path
		if err != nil {
			got = "error"
		}
		if got != want {
			t.Errorf("the target of %q is %q (%v), want %q", head, got, err, want)
		}
	}
}

// TestRequestWithoutATargetIsNotRun guards against a request that is run by the name of its route
// alone.
func TestRequestWithoutATargetIsNotRun(t *testing.T) {
	route := oldRoute()
	g, _ := newVersionsGateway(senderVersion, []routetable.Route{route}, nil)
	_, err := g.RunQuery(t.Context(), &executor.Request{ID: "id", Route: "o", RouteFingerprint: route.Fingerprint(), ConfigVersion: senderVersion})
	var rejected *RejectedError
	if !errors.As(err, &rejected) {
		t.Errorf("the error is %v, want a rejection", err)
	}
}

// TestKeyOfAnotherVMsRequest guards against a request that a VM with a newer configuration runs
// although that has withdrawn the caller's key, or now needs one.
func TestKeyOfAnotherVMsRequest(t *testing.T) {
	const key = "k1"
	customers := func(keys ...string) []routetable.Customer {
		return []routetable.Customer{{Name: "shop", Keys: keys}, {Name: "other", Keys: []string{"k9"}}}
	}
	none := []routetable.Customer{{Name: "other", Keys: []string{key}}}
	for name, test := range map[string]struct {
		customer  string
		digest    uint64 // 0 from an older build
		public    bool
		customers []routetable.Customer
		runs      bool // if this VM's configuration is newer; it always does if it is older
	}{
		"held":                    {"shop", routetable.KeyDigest(key), false, customers("k0", key), true},
		"withdrawn":               {"shop", routetable.KeyDigest(key), false, customers("k0"), false},
		"now of another customer": {"shop", routetable.KeyDigest(key), false, none, false},
		"customer removed":        {"shop", 0, false, none, false},
		"of an older build":       {"shop", 0, false, customers("k0"), true},
		"needs a key by now":      {"", 0, false, customers(key), false},
		"public":                  {"", 0, true, customers(key), true},
		"no customers":            {"", 0, false, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			route := changedRoute(func(r *routetable.Route) { r.Public = test.public })
			for version, want := range map[int64]bool{senderVersion - 1: true, senderVersion: true, senderVersion + 1: test.runs} {
				g, _ := newVersionsGateway(version, []routetable.Route{route}, test.customers)
				r := executor.Request{
					ID: "id", Route: "o", RouteFingerprint: route.Fingerprint(), ExecutionFingerprint: route.ExecutionFingerprint(), ConfigVersion: senderVersion,
					Host: testHost, Path: testPath, Customer: test.customer, KeyDigest: test.digest,
				}
				in := g.remoteIncoming(&r)
				if err := g.checkRemote(in, &r); (err == nil) != want {
					t.Errorf("version %d: the error is %v, want it to run %v", version, err, want)
				}
				if in.customerName() != test.customer {
					t.Errorf("version %d: the customer is %q", version, in.customerName())
				}
			}
		})
	}
}

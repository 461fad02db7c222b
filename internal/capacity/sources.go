package capacity

import (
	_ "embed"
	"strings"
)

// measured is the raw output of the benchmarks.
//
//go:embed measured.txt
var measured string

// allSources lists the measured costs that the page is computed from.
var allSources = []Source{
	{ID: "call-sent", Package: "peer", Benchmark: "BenchmarkCall", Unit: "B-sent/call", Mechanism: "peer.Client over connect-go"},
	{ID: "call-answered", Package: "peer", Benchmark: "BenchmarkCall", Unit: "B-answered/call", Mechanism: "peer.Server over connect-go"},
	{ID: "call-cpu", Package: "peer", Benchmark: "BenchmarkCall", Unit: "cpu-ns/call", Mechanism: "peer.Client and peer.Server together"},
	{ID: "probe-size", Package: "control", Benchmark: "BenchmarkWireProbe", Unit: "B/msg", Mechanism: "peer.v1 Probe"},
	{ID: "exchange-size", Package: "control", Benchmark: "BenchmarkWireExchange", Unit: "B/msg", Mechanism: "peer.v1 Exchange"},
	{ID: "list-size", Package: "control", Benchmark: "BenchmarkWireList", Unit: "B/msg", Param: "vms", Mechanism: "peer.v1 VMList, uncompressed"},
	{ID: "list-answered", Package: "peer", Benchmark: "BenchmarkCallWithList", Unit: "B-answered/call", Param: "vms", Mechanism: "peer.v1 Exchange with a whole VMList, gzip"},
	{ID: "change-answered", Package: "peer", Benchmark: "BenchmarkCallWithChange", Unit: "B-answered/call", Param: "changed", Mechanism: "peer.v1 Exchange with a VMListChange"},
	{ID: "change-cpu", Package: "peer", Benchmark: "BenchmarkCallWithChange", Unit: "cpu-ns/call", Param: "changed", Mechanism: "peer.v1 Exchange with a VMListChange, both ends"},
	{ID: "change-list-cpu", Package: "control", Benchmark: "BenchmarkChangeOfList", Unit: "ns/op", Param: "vms", Mechanism: "control: computing and applying a change"},
	{ID: "files-whole-sent", Package: "peer", Benchmark: "BenchmarkCallForFiles", Unit: "B-sent/call", Param: "files", Mechanism: "peer.v1 FetchFiles: the names that the requester has, without a known base"},
	{ID: "files-sent", Package: "peer", Benchmark: "BenchmarkCallForChanges", Unit: "B-sent/call", Param: "changed", Mechanism: "peer.v1 FetchFiles: the digest of the requester's files"},
	{ID: "files-answered", Package: "peer", Benchmark: "BenchmarkCallForChanges", Unit: "B-answered/call", Param: "changed", Mechanism: "peer.v1 FetchFiles: the changed names"},
	{ID: "files-cpu", Package: "peer", Benchmark: "BenchmarkCallForChanges", Unit: "cpu-ns/call", Param: "changed", Mechanism: "peer.v1 FetchFiles, both ends"},
	{ID: "change-names-cpu", Package: "control", Benchmark: "BenchmarkChangeOfNames", Unit: "ns/op", Param: "files", Mechanism: "control: computing and applying a change"},
	{ID: "inbound-memory", Package: "peer", Benchmark: "BenchmarkInbound", Unit: "B/conn", Mechanism: "peer.Server: one connection of another daemon"},
	{ID: "want-sent", Package: "control", Benchmark: "BenchmarkWireLend", Unit: "B/msg", Param: "wants", Mechanism: "peer.v1 Lend"},
	{ID: "want-answered", Package: "control", Benchmark: "BenchmarkWireLend", Unit: "B/answer", Param: "wants", Mechanism: "peer.v1 Lend, uncompressed"},
	{ID: "question-sent", Package: "control", Benchmark: "BenchmarkWireRamps", Unit: "B/msg", Param: "questions", Mechanism: "peer.v1 AskRamps"},
	{ID: "question-answered", Package: "control", Benchmark: "BenchmarkWireRamps", Unit: "B/answer", Param: "questions", Mechanism: "peer.v1 AskRamps, uncompressed"},
	{ID: "notice-sent", Package: "control", Benchmark: "BenchmarkWireNotice", Unit: "B/msg", Param: "upstreams", Mechanism: "peer.v1 Notify"},

	{ID: "index-size", Package: "platform", Benchmark: "BenchmarkParseIndex", Unit: "B/answer", Param: "files", Mechanism: "platform.Client.Index"},
	{ID: "index-cpu", Package: "platform", Benchmark: "BenchmarkParseIndex", Unit: "ns/op", Param: "files", Mechanism: "platform.Client.Index"},
	{ID: "vms-size", Package: "platform", Benchmark: "BenchmarkParseList", Unit: "B/answer", Param: "vms", Mechanism: "platform.Client.VMs"},
	{ID: "vms-cpu", Package: "platform", Benchmark: "BenchmarkParseList", Unit: "ns/op", Param: "vms", Mechanism: "platform.Client.VMs"},

	{ID: "spread-idle", Package: "core/dissemination", Benchmark: "BenchmarkSpread", Unit: "msgs/daemon/s", Param: "daemons", Mechanism: "dissemination: regular exchanges"},
	{ID: "spread-change", Package: "core/dissemination", Benchmark: "BenchmarkSpread", Unit: "msgs/daemon/change", Param: "daemons", Mechanism: "dissemination: exchanges with neighbours after a change, pulls"},
	{ID: "spread-busiest", Package: "core/dissemination", Benchmark: "BenchmarkSpread", Unit: "msgs/busiest/change", Param: "daemons", Mechanism: "dissemination: ring and zone links"},
	{ID: "reads", Package: "core/dissemination", Benchmark: "BenchmarkSpread", Unit: "reads/s", Param: "daemons", Mechanism: "dissemination: two readers for each zone"},
	{ID: "reads-start", Package: "core/dissemination", Benchmark: "BenchmarkSpread", Unit: "reads/s-start", Param: "daemons", Mechanism: "dissemination: bootstrap from seeds"},
	{ID: "change-ms", Package: "core/dissemination", Benchmark: "BenchmarkSpread", Unit: "ms-to-all", Param: "daemons", Mechanism: "dissemination: readers, ring and zone links"},
	{ID: "change-ms-faulty", Package: "core/dissemination", Benchmark: "BenchmarkSpread", Unit: "ms-to-all-faulty", Param: "daemons", Mechanism: "dissemination: the same, 1 in 20 messages lost and daemons dead"},
	{ID: "list-ms", Package: "core/dissemination", Benchmark: "BenchmarkListChange", Unit: "ms-to-all", Param: "daemons", Mechanism: "dissemination: readers, ring and zone links"},
	{ID: "list-msgs", Package: "core/dissemination", Benchmark: "BenchmarkListChange", Unit: "msgs/daemon/change", Param: "daemons", Mechanism: "dissemination: exchanges with neighbours after a change"},
	{ID: "list-copies", Package: "core/dissemination", Benchmark: "BenchmarkListChange", Unit: "lists/daemon/change", Param: "daemons", Mechanism: "dissemination: whole lists in answers"},
	{ID: "spread-tick", Package: "core/dissemination", Benchmark: "BenchmarkTick", Unit: "ns/op", Param: "vms", Mechanism: "Disseminator.Tick"},
	{ID: "adopt-cpu", Package: "core/dissemination", Benchmark: "BenchmarkAdoptList", Unit: "ns/op", Param: "vms", Mechanism: "Disseminator.OnPeerAnswer: a new topology"},
	{ID: "adopt-memory", Package: "core/dissemination", Benchmark: "BenchmarkAdoptList", Unit: "B/op", Param: "vms", Mechanism: "Disseminator: list and topology, garbage included"},

	{ID: "accept-cpu", Package: "core/catalog", Benchmark: "BenchmarkAccept", Unit: "ns/op", Param: "upstreams", Mechanism: "catalog.Acceptor.Offer"},
	{ID: "accept-memory", Package: "core/catalog", Benchmark: "BenchmarkAccept", Unit: "MiB-held", Param: "upstreams", Mechanism: "catalog.Acceptor without the files"},
	{ID: "folder-memory", Package: "core/catalog", Benchmark: "BenchmarkFolder", Unit: "B-folder", Param: "upstreams", Mechanism: "catalog.FileSet: contents of all files"},
	{ID: "folder-sent", Package: "core/catalog", Benchmark: "BenchmarkFolder", Unit: "B-gzip", Param: "upstreams", Mechanism: "peer.v1 FetchFiles to a new daemon, gzip"},
	{ID: "folder-cpu", Package: "core/catalog", Benchmark: "BenchmarkFolder", Unit: "ns/op", Param: "upstreams", Mechanism: "gzip of the whole folder"},
	{ID: "accept-customers-cpu", Package: "core/catalog", Benchmark: "BenchmarkAcceptCustomers", Unit: "ns/op", Param: "customers", Mechanism: "catalog.Acceptor.Offer"},
	{ID: "accept-customers-memory", Package: "core/catalog", Benchmark: "BenchmarkAcceptCustomers", Unit: "B-held", Param: "customers", Mechanism: "catalog.Acceptor without the files"},

	{ID: "owner-list", Package: "core/quota", Benchmark: "BenchmarkOnList", Unit: "ns/op", Param: "vms", Mechanism: "quota.Manager.OnList: ranks of all slots"},
	{ID: "owner-tick", Package: "core/quota", Benchmark: "BenchmarkTickVMs", Unit: "ns/op", Param: "vms", Mechanism: "quota.Manager.Tick: lease.Owner.Probes"},
	{ID: "quota-idle", Package: "core/quota", Benchmark: "BenchmarkCustomers", Unit: "ns/op", Param: "customers", Mechanism: "quota.Manager.Tick: customers without requests"},
	{ID: "quota-memory", Package: "core/quota", Benchmark: "BenchmarkCustomers", Unit: "B-held", Param: "customers", Mechanism: "quota.Manager: accounts and buckets"},
	{ID: "quota-change", Package: "core/quota", Benchmark: "BenchmarkCustomers", Unit: "ns/change", Param: "customers", Mechanism: "quota.Manager.OnCatalog"},
	{ID: "quota-active", Package: "core/quota", Benchmark: "BenchmarkTickActive", Unit: "ns/op", Param: "customers", Mechanism: "quota.Manager.Tick: a VM without slots, of 2,100"},
	{ID: "probes", Package: "core/quota", Benchmark: "BenchmarkFleetVMs", Unit: "probes/s", Param: "vms", Mechanism: "lease.Owner.Probes, four zones"},
	{ID: "probed-most", Package: "core/quota", Benchmark: "BenchmarkFleetVMs", Unit: "probed-most/s", Param: "vms", Mechanism: "lease.Owner: the most probed VM, four zones"},
	{ID: "probed-zones", Package: "core/quota", Benchmark: "BenchmarkFleetZones", Unit: "probed-most/s", Param: "zones", Mechanism: "lease.Owner: the most probed VM, zones of ten VMs"},
	{ID: "nine-msgs", Package: "core/quota", Benchmark: "BenchmarkFleetCustomers", Unit: "lends/s", Param: "customers", Mechanism: "quota.Manager: Lend, nine VMs in four zones"},
	{ID: "nine-wants", Package: "core/quota", Benchmark: "BenchmarkFleetCustomers", Unit: "wants/s", Param: "customers", Mechanism: "quota.Manager: share requests in Lend, nine VMs in four zones"},
	{ID: "nine-audits", Package: "core/quota", Benchmark: "BenchmarkFleetCustomers", Unit: "audits/s", Param: "customers", Mechanism: "quota.Audit, nine VMs in four zones"},
	{ID: "nine-refused", Package: "core/quota", Benchmark: "BenchmarkFleetCustomers", Unit: "%-refused", Param: "customers", Mechanism: "refused although within the limit, nine VMs in four zones"},
	{ID: "planned-msgs", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "lends/s", Param: "customers", Where: map[string]float64{"zones": 4}, Mechanism: "quota.Manager: Lend, 420 VMs in four zones, 0.5 requests/s of a customer at a VM"},
	{ID: "planned-wants", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "wants/s", Param: "customers", Where: map[string]float64{"zones": 4}, Mechanism: "quota.Manager: share requests in Lend, 420 VMs in four zones, 0.5 requests/s of a customer at a VM"},
	{ID: "planned-audits", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "audits/s", Param: "customers", Where: map[string]float64{"zones": 4}, Mechanism: "quota.Audit, 420 VMs in four zones, 0.5 requests/s of a customer at a VM"},
	{ID: "planned-refused", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "%-refused", Param: "customers", Where: map[string]float64{"zones": 4}, Mechanism: "refused although within the limit, 420 VMs in four zones, 0.5 requests/s of a customer at a VM"},
	{ID: "region-msgs", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "lends/s", Param: "customers", Where: map[string]float64{"zones": 2}, Mechanism: "quota.Manager: Lend, 210 VMs in two zones, 3.6 requests/s of a customer at a VM"},
	{ID: "region-wants", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "wants/s", Param: "customers", Where: map[string]float64{"zones": 2}, Mechanism: "quota.Manager: share requests in Lend, 210 VMs in two zones, 3.6 requests/s of a customer at a VM"},
	{ID: "region-audits", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "audits/s", Param: "customers", Where: map[string]float64{"zones": 2}, Mechanism: "quota.Audit, 210 VMs in two zones, 3.6 requests/s of a customer at a VM"},
	{ID: "region-refused", Package: "core/quota", Benchmark: "BenchmarkFleetLending", Unit: "%-refused", Param: "customers", Where: map[string]float64{"zones": 2}, Mechanism: "refused although within the limit, 210 VMs in two zones, 3.6 requests/s of a customer at a VM"},

	{ID: "routing-list-own", Package: "core/routing", Benchmark: "BenchmarkUpdate", Variant: "own_zone", Unit: "ns/op", Param: "upstreams", Mechanism: "routing.Router.Update: a VM of the same zone added or removed"},
	{ID: "routing-list-other", Package: "core/routing", Benchmark: "BenchmarkUpdate", Variant: "other_zone", Unit: "ns/op", Param: "upstreams", Mechanism: "routing.Router.Update: a VM of another zone added or removed"},
	{ID: "routing-catalog", Package: "core/routing", Benchmark: "BenchmarkUpdate", Variant: "catalog", Unit: "ns/op", Param: "upstreams", Mechanism: "routing.Router.Update: a new configuration"},
	{ID: "routing-tick", Package: "core/routing", Benchmark: "BenchmarkHeld", Unit: "ns/op", Param: "upstreams", Mechanism: "routing.Router.Tick"},
	{ID: "routing-memory", Package: "core/routing", Benchmark: "BenchmarkHeld", Unit: "B-held", Param: "upstreams", Mechanism: "routing.Router without the catalog"},
	{ID: "upstreams-held", Package: "core/routing", Benchmark: "BenchmarkHeld", Unit: "upstreams-held", Param: "upstreams", Mechanism: "routing: domains and ranks"},
	{ID: "connections", Package: "core/routing", Benchmark: "BenchmarkHeld", Unit: "connections", Param: "upstreams", Mechanism: "routing.Router.Connections"},
	{ID: "pick-cpu", Package: "core/routing", Benchmark: "BenchmarkPickDone", Unit: "ns/op", Mechanism: "routing.Router.Pick and Done"},

	{ID: "query-cpu", Package: "core/scatter", Benchmark: "BenchmarkQuery", Unit: "ns/op", Mechanism: "scatter.Query of 130 shards"},
	{ID: "admit-cpu", Package: "core/admission", Benchmark: "BenchmarkAdmit", Unit: "ns/op", Mechanism: "admission.Scheduler"},
	{ID: "key-cpu", Package: "core/keys", Benchmark: "BenchmarkCarries", Unit: "ns/op", Mechanism: "keys.Carries on a body of 1 KB"},
	{ID: "conn-memory", Package: "upstream", Benchmark: "BenchmarkConnections", Unit: "B/conn", Mechanism: "upstream.Pool: a connection and its reader"},
	{ID: "limits-cpu", Package: "upstream", Benchmark: "BenchmarkConnections", Unit: "ns/op", Param: "upstreams", Mechanism: "upstream.Pool.SetLimits"},
	{ID: "audit-cpu", Package: "audit", Benchmark: "BenchmarkAdd", Unit: "ns/op", Mechanism: "audit.Trail.Add"},
	{ID: "audit-memory", Package: "audit", Benchmark: "BenchmarkAdd", Unit: "B-held", Mechanism: "audit.Trail: a full ring"},
}

// Slopes holds the measured costs by ID.
type Slopes struct {
	byID map[string]*Slope
	// All lists them in the order of the page.
	All []*Slope
}

// Load parses the embedded measurements and returns their slopes.
func Load() (*Slopes, error) {
	results, err := Parse(strings.NewReader(measured))
	if err != nil {
		return nil, err
	}
	out := &Slopes{byID: make(map[string]*Slope)}
	for _, source := range allSources {
		s, err := NewSlope(source, results)
		if err != nil {
			return nil, err
		}
		out.byID[source.ID] = &s
		out.All = append(out.All, &s)
	}
	return out, nil
}

// at returns the cost of a slope at a size. The ID must be in allSources.
func (s *Slopes) at(id string, x float64) float64 { return s.byID[id].At(x) }

// constant returns a cost that doesn't depend on a size.
func (s *Slopes) constant(id string) float64 { return s.byID[id].Line.Base }

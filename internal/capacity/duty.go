package capacity

// Duty is the cost of one task of a daemon at one size of the fleet.
type Duty struct {
	Name string
	// Traffic marks costs that grow with queries. The others are control costs.
	Traffic bool
	// MessagesPerSecond and BytesPerSecond are the rates sent to peers,
	// responses included.
	MessagesPerSecond, BytesPerSecond float64
	// Cores is the processor time in seconds per second.
	Cores       float64
	MemoryBytes float64
	// Mechanism names the code that performs the duty.
	Mechanism string
}

const (
	// ticksPerSecond is how often the control goroutine ticks.
	ticksPerSecond = 20
	// slowTicksPerSecond is how often it ticks dissemination and quota.
	slowTicksPerSecond = 10
	// limitsPerSecond is how often the pool's connection limits are updated.
	limitsPerSecond = 4
	// readersPerZone is the number of daemons of a zone that read the platform.
	readersPerZone = 2
	nanosPerSecond = 1e9
)

// callCost is the total cost of peer calls to the client and the server. A daemon
// serves on average as many calls as it makes, so this is also what one daemon
// spends for each call that it makes.
type callCost struct{ messages, bytes, cpuNanos float64 }

func (c callCost) scale(n float64) callCost {
	return callCost{messages: c.messages * n, bytes: c.bytes * n, cpuNanos: c.cpuNanos * n}
}

func (c callCost) add(o callCost) callCost {
	return callCost{messages: c.messages + o.messages, bytes: c.bytes + o.bytes, cpuNanos: c.cpuNanos + o.cpuNanos}
}

// Model computes the duties of a fleet from the measured slopes.
type Model struct {
	slopes *Slopes
	fleet  Fleet
}

// NewModel returns the model of a fleet.
func NewModel(s *Slopes, f Fleet) *Model { return &Model{slopes: s, fleet: f} }

// probe returns the cost of one probe with its answer.
func (m *Model) probe() callCost {
	s := m.slopes
	return callCost{messages: 2, bytes: s.constant("call-sent") + s.constant("call-answered"), cpuNanos: s.constant("call-cpu")}
}

// exchange returns the cost of one exchange of digests without a VM list.
func (m *Model) exchange() callCost {
	c := m.probe()
	c.bytes += 2 * (m.slopes.constant("exchange-size") - m.slopes.constant("probe-size"))
	return c
}

// fetch returns the cost of fetching a changed file by a peer that is one version
// behind.
func (m *Model) fetch() callCost {
	s := m.slopes
	return callCost{
		messages: 2,
		bytes:    s.at("files-sent", 1) + s.at("files-answered", 1),
		cpuNanos: s.at("files-cpu", 1) + s.at("change-names-cpu", m.fleet.Files),
	}
}

// exchangeWithChange returns the cost of one exchange whose response contains the
// change of one VM.
func (m *Model) exchangeWithChange() callCost {
	s := m.slopes
	return callCost{
		messages: 2,
		bytes:    s.constant("call-sent") + s.at("change-answered", 1),
		cpuNanos: s.at("change-cpu", 1) + s.at("change-list-cpu", m.fleet.Daemons),
	}
}

// configChange returns the cost of one daemon's messages for a configuration
// change: one fetch, and exchanges.
func (m *Model) configChange() callCost {
	exchanges := max(m.slopes.at("spread-change", m.fleet.Daemons)/2-1, 0)
	return m.fetch().add(m.exchange().scale(exchanges))
}

// listChange returns the cost of one daemon's messages for a change of the VM
// list.
func (m *Model) listChange() callCost {
	copies := m.slopes.at("list-copies", m.fleet.Daemons)
	exchanges := max(m.slopes.at("list-msgs", m.fleet.Daemons)/2-copies, 0)
	return m.exchangeWithChange().scale(copies).add(m.exchange().scale(exchanges))
}

// acceptNanos returns the processor time of the control goroutine for one accepted
// configuration change.
func (m *Model) acceptNanos() float64 {
	s, f := m.slopes, m.fleet
	return s.at("accept-cpu", f.Upstreams) + s.at("quota-change", f.Customers) + s.at("routing-catalog", f.Upstreams)
}

// adoptNanos returns the processor time of the control goroutine for one new VM
// list.
func (m *Model) adoptNanos() float64 {
	s, f := m.slopes, m.fleet
	own := 1 / f.Zones
	routing := own*s.at("routing-list-own", f.Upstreams) + (1-own)*s.at("routing-list-other", f.Upstreams)
	return s.at("adopt-cpu", f.Daemons) + s.at("owner-list", f.Daemons) + routing
}

func newDuty(name, mechanism string, c callCost, nanos, memory float64) Duty {
	return Duty{
		Name: name, Mechanism: mechanism, MessagesPerSecond: c.messages, BytesPerSecond: c.bytes,
		Cores: (c.cpuNanos + nanos) / nanosPerSecond, MemoryBytes: memory,
	}
}

// Duties returns the duties of a daemon that is neither a reader nor a witness.
// Reader and Witness return those costs.
func (m *Model) Duties() []Duty {
	s, f := m.slopes, m.fleet
	changes, lists := f.ConfigChangesPerSecond(), f.ListChangesPerSecond()
	idle := m.exchange().scale(s.at("spread-idle", f.Daemons) / 2)
	probes := m.probe().scale(m.probesPerSecond())
	return []Duty{
		newDuty("configuration: exchanges at rest", "dissemination.Disseminator", idle,
			slowTicksPerSecond*s.at("spread-tick", f.Daemons), 0),
		newDuty("configuration: disseminating changes", "dissemination.Disseminator, peer.v1 FetchFiles", m.configChange().scale(changes), 0, 0),
		newDuty("catalog: acceptance and publishing", "catalog.Acceptor, routing.Router.Update, quota.Manager.OnCatalog", callCost{},
			changes*m.acceptNanos(), s.at("accept-memory", f.Upstreams)*(1<<20)+s.at("folder-memory", f.Upstreams)),
		newDuty("configuration: the folder for new daemons", "peer.v1 FetchFiles", m.folderTransfers(), 0, 0),
		newDuty("VM list: dissemination", "dissemination.Disseminator, peer.v1 Exchange", m.listChange().scale(lists), 0, 0),
		newDuty("VM list: adoption", "dissemination topology, lease.Owner.SetList, routing.Router.Update", callCost{},
			lists*m.adoptNanos(), s.at("adopt-memory", f.Daemons)),
		newDuty("quota: ownership and probes", "lease.Owner, peer.v1 Probe", probes,
			slowTicksPerSecond*s.at("owner-tick", f.Daemons), 0),
		newDuty("quota: lending", "quota.Manager, peer.v1 Lend", m.lending(),
			slowTicksPerSecond*(s.at("quota-active", f.ActiveCustomers())+s.at("quota-idle", f.Customers-f.ActiveCustomers())),
			s.at("quota-memory", f.Customers)),
		newDuty("routing: shares and ramps", "routing.Router.Tick", callCost{},
			ticksPerSecond*s.at("routing-tick", m.equivalentUpstreams()), s.at("routing-memory", m.equivalentUpstreams())),
		newDuty("routing: ramp queries of new daemons", "routing.Router, peer.v1 AskRamps", m.rampQueries(), 0, 0),
		newDuty("audit", "audit.Trail", callCost{}, m.loanAuditEntries()*s.constant("audit-cpu"), s.constant("audit-memory")),
		m.traffic("admission", "admission.Scheduler, keys", f.QueriesPerDaemon()*(s.constant("admit-cpu")+s.constant("key-cpu")), 0),
		m.traffic("a query's scatter", "scatter.Query", f.AttemptsPerDaemon()*s.constant("query-cpu")/benchmarkShards, 0),
		m.traffic("choice of replicas", "routing.Router.Pick", f.AttemptsPerDaemon()*s.constant("pick-cpu"), 0),
		m.traffic("connection pool", "upstream.Pool", limitsPerSecond*s.at("limits-cpu", s.at("upstreams-held", m.equivalentUpstreams())),
			s.at("connections", m.equivalentUpstreams())*s.constant("conn-memory")),
	}
}

// benchmarkShards is the number of shards of the query that the benchmark runs.
const benchmarkShards = 130

func (m *Model) traffic(name, mechanism string, nanos, memory float64) Duty {
	return Duty{Name: name, Mechanism: mechanism, Traffic: true, Cores: nanos / nanosPerSecond, MemoryBytes: memory}
}

// smallFleet is the largest number of daemons that is modeled by the measured
// fleet of nine.
const smallFleet = 9

// lendingPrefix returns the prefix of the IDs of the lending slopes that apply to
// the fleet.
func (m *Model) lendingPrefix() string {
	switch {
	case m.fleet.Daemons <= smallFleet:
		return "nine"
	case m.fleet.Zones < Planned().Zones:
		return "region"
	}
	return "planned"
}

// equivalentUpstreams returns the number of upstreams of a fleet of 20 zones, as
// measured, whose zones are as large as this fleet's. In a small fleet the daemons
// share all upstreams, whatever their zone.
func (m *Model) equivalentUpstreams() float64 {
	const zones = 20
	if m.fleet.Daemons <= smallFleet {
		return m.fleet.Upstreams
	}
	return zones * m.fleet.Upstreams / m.fleet.Zones
}

// probesPerSecond returns the probes that one daemon sends. They depend on the size
// of a zone; the measured fleets have four zones.
func (m *Model) probesPerSecond() float64 {
	const zones = 4
	return m.slopes.at("probes", zones*m.fleet.DaemonsPerZone())
}

// folderTransfers returns the cost per second of sending the whole configuration
// folder to restarted daemons.
func (m *Model) folderTransfers() callCost {
	s, f := m.slopes, m.fleet
	one := callCost{messages: 2, bytes: s.at("folder-sent", f.Upstreams), cpuNanos: s.at("folder-cpu", f.Upstreams)}
	return one.scale(f.RestartsPerDay / secondsPerDay / f.Daemons)
}

// shareRequests returns the share requests of one daemon per second. If each
// customer has few requests at a daemon, fetchRate of the quota package bounds them.
// The largest measured fleet has reached that bound.
func (m *Model) shareRequests() float64 {
	s := m.slopes.byID[m.lendingPrefix()+"-wants"]
	requests := s.At(m.fleet.ActiveCustomers())
	if m.lendingPrefix() == "planned" {
		requests = min(requests, s.Points[len(s.Points)-1].Y)
	}
	return requests
}

// loanAuditEntries returns the audit trail's entries of loans per second: at most
// one at the borrower and one at the lender of each share request.
func (m *Model) loanAuditEntries() float64 {
	const ends = 2
	return min(m.slopes.at(m.lendingPrefix()+"-audits", m.fleet.ActiveCustomers()), ends*m.shareRequests())
}

// lending returns the cost per second of one daemon's lending: its calls, and the
// share requests in them.
func (m *Model) lending() callCost {
	s, active := m.slopes, m.fleet.ActiveCustomers()
	perRequest := s.byID["want-sent"].Line.PerUnit + s.byID["want-answered"].Line.PerUnit
	c := m.probe().scale(min(s.at(m.lendingPrefix()+"-msgs", active), m.shareRequests()))
	c.bytes += m.shareRequests() * perRequest
	return c
}

// rampQueries returns the cost per second of the ramp queries of restarted daemons:
// each queries two peers of its zone about each upstream that it holds.
func (m *Model) rampQueries() callCost {
	const peersQueried = 2
	s, f := m.slopes, m.fleet
	perQuery := s.byID["question-sent"].Line.PerUnit + s.byID["question-answered"].Line.PerUnit
	restarts := f.RestartsPerDay / secondsPerDay / f.Daemons
	return callCost{bytes: restarts * peersQueried * s.at("upstreams-held", m.equivalentUpstreams()) * perQuery}
}

// Control returns the sum of the duties that are not traffic.
func (m *Model) Control() Duty {
	sum := Duty{Name: "control, all"}
	for _, d := range m.Duties() {
		if d.Traffic {
			continue
		}
		sum.MessagesPerSecond += d.MessagesPerSecond
		sum.BytesPerSecond += d.BytesPerSecond
		sum.Cores += d.Cores
		sum.MemoryBytes += d.MemoryBytes
	}
	return sum
}

// probeIntervalSeconds is the time between two probes of one daemon by another. The
// number of probes received in this time is the number of daemons that probe.
const probeIntervalSeconds = 0.6

// mostProbedRate returns the probes per second that the most probed daemon answers:
// those of a fleet with four zones of this size, and what further zones add.
func (m *Model) mostProbedRate() float64 {
	const zones = 4
	s, f := m.slopes, m.fleet
	further := s.at("probed-zones", f.Zones) - s.at("probed-zones", zones)
	return s.at("probed-most", zones*f.DaemonsPerZone()) + max(further, 0)
}

// Witness returns the cost of answering probes for the most probed daemon.
func (m *Model) Witness() Duty {
	s, f := m.slopes, m.fleet
	probed := m.mostProbedRate()
	const ends = 2
	return Duty{
		Name: "quota: the most probed daemon", Mechanism: "lease.Owner.Probes",
		MessagesPerSecond: probed,
		BytesPerSecond:    probed * s.constant("call-answered"),
		Cores:             probed * s.constant("call-cpu") / ends / nanosPerSecond,
		MemoryBytes:       min(m.mostProbedRate()*probeIntervalSeconds, f.Daemons) * s.constant("inbound-memory"),
	}
}

// Reader returns the additional cost of reading the platform for one reader.
func (m *Model) Reader() Duty {
	s, f := m.slopes, m.fleet
	nanos := f.ConfigChangesPerSecond()*s.at("index-cpu", f.Files) + f.ListChangesPerSecond()*s.at("vms-cpu", f.Daemons)
	return Duty{
		Name: "configuration: a reader of the platform", Mechanism: "dissemination.Disseminator, platform.Client",
		MessagesPerSecond: s.at("reads", f.Daemons) / (f.Zones * readersPerZone), Cores: nanos / nanosPerSecond,
	}
}

// ReaderBytesPerSecond returns the bytes per second that one reader receives from
// the platform.
func (m *Model) ReaderBytesPerSecond() float64 {
	s, f := m.slopes, m.fleet
	return f.ConfigChangesPerSecond()*s.at("index-size", f.Files) + f.ListChangesPerSecond()*s.at("vms-size", f.Daemons)
}

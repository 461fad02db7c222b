package capacity

// Duty is what one duty costs a daemon at one size of the fleet.
type Duty struct {
	Name string
	// Traffic marks costs that grow with queries; they don't count as control.
	Traffic bool
	// MessagesPerSecond and BytesPerSecond are sent to peers per second, answers included.
	MessagesPerSecond, BytesPerSecond float64
	// Cores is processor time per second.
	Cores float64
	// MemoryBytes is bytes.
	MemoryBytes float64
	// Mechanism names what carries the duty.
	Mechanism string
}

const (
	// ticksPerSecond is how often the control goroutine ticks.
	ticksPerSecond = 20
	// slowTicksPerSecond is how often it ticks spreading and quota.
	slowTicksPerSecond = 10
	// limitsPerSecond is how often the pool's shares are updated.
	limitsPerSecond = 4
	// readersPerZone is the number of daemons of a zone that read the platform.
	readersPerZone = 2
	nanosPerSecond = 1e9
)

// callCost is the cost of peer calls to both ends together. In the mean a daemon
// answers as many calls as it makes, so that this is what one daemon spends.
type callCost struct{ messages, bytes, cpuNanos float64 }

func (c callCost) scale(n float64) callCost {
	return callCost{messages: c.messages * n, bytes: c.bytes * n, cpuNanos: c.cpuNanos * n}
}

func (c callCost) add(o callCost) callCost {
	return callCost{messages: c.messages + o.messages, bytes: c.bytes + o.bytes, cpuNanos: c.cpuNanos + o.cpuNanos}
}

// Model works out duties from slopes.
type Model struct {
	slopes *Slopes
	fleet  Fleet
}

// NewModel returns the model of a fleet.
func NewModel(s *Slopes, f Fleet) *Model { return &Model{slopes: s, fleet: f} }

// probe is one probe with its answer.
func (m *Model) probe() callCost {
	s := m.slopes
	return callCost{messages: 2, bytes: s.constant("call-sent") + s.constant("call-answered"), cpuNanos: s.constant("call-cpu")}
}

// exchange is one exchange of digests without a list.
func (m *Model) exchange() callCost {
	c := m.probe()
	c.bytes += 2 * (m.slopes.constant("exchange-size") - m.slopes.constant("probe-size"))
	return c
}

// fetch is one fetch of a changed file by a peer that is one version behind.
func (m *Model) fetch() callCost {
	s := m.slopes
	return callCost{
		messages: 2,
		bytes:    s.at("files-sent", 1) + s.at("files-answered", 1),
		cpuNanos: s.at("files-cpu", 1) + s.at("change-names-cpu", m.fleet.Files),
	}
}

// exchangeWithChange is one exchange whose answer carries the change of one VM.
func (m *Model) exchangeWithChange() callCost {
	s := m.slopes
	return callCost{
		messages: 2,
		bytes:    s.constant("call-sent") + s.at("change-answered", 1),
		cpuNanos: s.at("change-cpu", 1) + s.at("change-list-cpu", m.fleet.Daemons),
	}
}

// configChange is what one configuration change costs a daemon in messages: one
// fetch, and exchanges.
func (m *Model) configChange() callCost {
	exchanges := max(m.slopes.at("spread-change", m.fleet.Daemons)/2-1, 0)
	return m.fetch().add(m.exchange().scale(exchanges))
}

// listChange is what one change of the VM list costs a daemon in messages.
func (m *Model) listChange() callCost {
	copies := m.slopes.at("list-copies", m.fleet.Daemons)
	exchanges := max(m.slopes.at("list-msgs", m.fleet.Daemons)/2-copies, 0)
	return m.exchangeWithChange().scale(copies).add(m.exchange().scale(exchanges))
}

// acceptNanos is the processor time for one accepted change on the control
// goroutine.
func (m *Model) acceptNanos() float64 {
	s, f := m.slopes, m.fleet
	return s.at("accept-cpu", f.Upstreams) + s.at("quota-change", f.Customers) + s.at("routing-catalog", f.Upstreams)
}

// adoptNanos is the processor time for one new list on the control goroutine.
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

// Duties returns the duties of a daemon that is no reader and no witness, but
// for the rows that say so.
func (m *Model) Duties() []Duty {
	s, f := m.slopes, m.fleet
	changes, lists := f.ConfigChangesPerSecond(), f.ListChangesPerSecond()
	idle := m.exchange().scale(s.at("spread-idle", f.Daemons) / 2)
	probes := m.probe().scale(m.probesPerSecond())
	return []Duty{
		newDuty("configuration: exchanges at rest", "dissemination.Disseminator", idle,
			slowTicksPerSecond*s.at("spread-tick", f.Daemons), 0),
		newDuty("configuration: spreading changes", "dissemination.Disseminator, peer.v1 FetchFiles", m.configChange().scale(changes), 0, 0),
		newDuty("catalog: acceptance and publishing", "catalog.Acceptor, routing.Router.Update, quota.Manager.OnCatalog", callCost{},
			changes*m.acceptNanos(), s.at("accept-memory", f.Upstreams)*(1<<20)+s.at("folder-memory", f.Upstreams)),
		newDuty("configuration: the folder for new daemons", "peer.v1 FetchFiles", m.folderTransfers(), 0, 0),
		newDuty("VM list: spreading", "dissemination.Disseminator, peer.v1 Exchange", m.listChange().scale(lists), 0, 0),
		newDuty("VM list: adoption", "dissemination topology, lease.Owner.SetList, routing.Router.Update", callCost{},
			lists*m.adoptNanos(), s.at("adopt-memory", f.Daemons)),
		newDuty("quota: ownership and probes", "lease.Owner, peer.v1 Probe", probes,
			slowTicksPerSecond*s.at("owner-tick", f.Daemons), 0),
		newDuty("quota: lending", "quota.Manager, peer.v1 Lend", m.lending(),
			slowTicksPerSecond*(s.at("quota-active", f.ActiveCustomers())+s.at("quota-idle", f.Customers-f.ActiveCustomers())),
			s.at("quota-memory", f.Customers)),
		newDuty("routing: shares and ramps", "routing.Router.Tick", callCost{},
			ticksPerSecond*s.at("routing-tick", m.equivalentUpstreams()), s.at("routing-memory", m.equivalentUpstreams())),
		newDuty("routing: questions of new daemons", "routing.Router, peer.v1 AskRamps", m.rampQueries(), 0, 0),
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

// smallFleet is the number of daemons up to which the measured fleet of nine
// stands for the fleet.
const smallFleet = 9

// lendingPrefix names the slopes of lending.
func (m *Model) lendingPrefix() string {
	switch {
	case m.fleet.Daemons <= smallFleet:
		return "nine"
	case m.fleet.Zones < Planned().Zones:
		return "region"
	}
	return "planned"
}

// equivalentUpstreams returns the upstreams of the measured fleet of 20 zones whose zones
// are as large as this fleet's. A small fleet shares all upstreams, whatever
// their zone.
func (m *Model) equivalentUpstreams() float64 {
	const zones = 20
	if m.fleet.Daemons <= smallFleet {
		return m.fleet.Upstreams
	}
	return zones * m.fleet.Upstreams / m.fleet.Zones
}

// probesPerSecond depends on the size of a zone; the measured fleets have four.
func (m *Model) probesPerSecond() float64 {
	const zones = 4
	return m.slopes.at("probes", zones*m.fleet.DaemonsPerZone())
}

// folderTransfers is the sending of the whole folder to restarted daemons.
func (m *Model) folderTransfers() callCost {
	s, f := m.slopes, m.fleet
	one := callCost{messages: 2, bytes: s.at("folder-sent", f.Upstreams), cpuNanos: s.at("folder-cpu", f.Upstreams)}
	return one.scale(f.RestartsPerDay / secondsPerDay / f.Daemons)
}

// shareRequests returns the wishes for shares of one daemon per second. Where each
// customer has few requests at a daemon, the daemon's budget of fetches (fetchRate
// of the quota package) bounds them, which the largest measured fleet has reached.
func (m *Model) shareRequests() float64 {
	s := m.slopes.byID[m.lendingPrefix()+"-wants"]
	wants := s.At(m.fleet.ActiveCustomers())
	if m.lendingPrefix() == "planned" {
		wants = min(wants, s.Points[len(s.Points)-1].Y)
	}
	return wants
}

// loanAuditEntries returns the entries of loans in the audit trail per second: at most
// one at each end of a wish.
func (m *Model) loanAuditEntries() float64 {
	const ends = 2
	return min(m.slopes.at(m.lendingPrefix()+"-audits", m.fleet.ActiveCustomers()), ends*m.shareRequests())
}

// lending is the lending of one daemon: its calls, and its wishes.
func (m *Model) lending() callCost {
	s, active := m.slopes, m.fleet.ActiveCustomers()
	perWant := s.byID["want-sent"].Line.PerUnit + s.byID["want-answered"].Line.PerUnit
	c := m.probe().scale(min(s.at(m.lendingPrefix()+"-msgs", active), m.shareRequests()))
	c.bytes += m.shareRequests() * perWant
	return c
}

// rampQueries are what restarted daemons ask of their zone: about each upstream
// that they hold, two daemons.
func (m *Model) rampQueries() callCost {
	const peersQueried = 2
	s, f := m.slopes, m.fleet
	perQuestion := s.byID["question-sent"].Line.PerUnit + s.byID["question-answered"].Line.PerUnit
	restarts := f.RestartsPerDay / secondsPerDay / f.Daemons
	return callCost{bytes: restarts * peersQueried * s.at("upstreams-held", m.equivalentUpstreams()) * perQuestion}
}

// Control returns the sum over the duties that count as control.
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

// probeIntervalSeconds is the time between two probes of one daemon by another, so that
// the probes of that time are those of as many daemons.
const probeIntervalSeconds = 0.6

// mostProbedRate returns the probes that the most mostProbedRate daemon answers per second: those
// of a fleet of four zones of this size, and what further zones add.
func (m *Model) mostProbedRate() float64 {
	const zones = 4
	s, f := m.slopes, m.fleet
	further := s.at("probed-zones", f.Zones) - s.at("probed-zones", zones)
	return s.at("probed-most", zones*f.DaemonsPerZone()) + max(further, 0)
}

// Witness returns what the answers to probes cost the most probed daemon.
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

// Reader returns what the reading of the platform costs one reader besides.
func (m *Model) Reader() Duty {
	s, f := m.slopes, m.fleet
	nanos := f.ConfigChangesPerSecond()*s.at("index-cpu", f.Files) + f.ListChangesPerSecond()*s.at("vms-cpu", f.Daemons)
	return Duty{
		Name: "configuration: a reader of the platform", Mechanism: "dissemination.Disseminator, platform.Client",
		MessagesPerSecond: s.at("reads", f.Daemons) / (f.Zones * readersPerZone), Cores: nanos / nanosPerSecond,
	}
}

// ReaderBytesPerSecond returns what one reader receives from the platform per second.
func (m *Model) ReaderBytesPerSecond() float64 {
	s, f := m.slopes, m.fleet
	return f.ConfigChangesPerSecond()*s.at("index-size", f.Files) + f.ListChangesPerSecond()*s.at("vms-size", f.Daemons)
}

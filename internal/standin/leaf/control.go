package leaf

import (
	"encoding/json"
	"path"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Action is what a command does to leaves.
type Action string

// The actions.
const (
	ActionCrash   Action = "crash"
	ActionStart   Action = "start"
	ActionRestart Action = "restart"
	ActionFreeze  Action = "freeze"
	ActionThaw    Action = "thaw"
	ActionDrain   Action = "drain"
	ActionUndrain Action = "undrain"
	ActionCold    Action = "cold" // starts a warm-up
	ActionPublish Action = "publish"
	ActionPolicy  Action = "policy"
)

// Command is the body of a control request.
type Command struct {
	// Leaf is a pattern for leaf IDs, as in path.Match.
	Leaf   string `json:"leaf"`
	Action Action `json:"action"`
	// Snapshot is the snapshot that ActionPublish publishes.
	Snapshot Snapshot `json:"snapshot"`
	// SpreadMS is the time over which the leaves publish the snapshot, in
	// milliseconds.
	SpreadMS float64 `json:"spread_ms"`
	// Policy is a JSON object with the fields of the leaves' Policy that
	// ActionPolicy changes. The other fields stay as they are.
	Policy json.RawMessage `json:"policy,omitempty"`
}

// CommandResponse reports on how many leaves a command succeeded. Snapshots of
// ActionPublish may be published later.
type CommandResponse struct {
	Leaves int `json:"leaves"`
}

// CommandError reports a command with an invalid pattern or an unknown action.
type CommandError struct {
	Command Command
	Reason  string
}

// Error implements error.
func (e *CommandError) Error() string {
	return string(e.Command.Action) + " " + e.Command.Leaf + ": " + e.Reason
}

// Status is a leaf's state and counters.
type Status struct {
	ID              string     `json:"id"`
	Zone            string     `json:"zone"`
	Service         string     `json:"service"`
	Shard           int        `json:"shard"`
	Address         string     `json:"address"`
	State           string     `json:"state"`    // "crashed" also before the first start
	Instance        string     `json:"instance"` // ID of the incarnation
	Running         int        `json:"running"`
	Queued          int        `json:"queued"`
	OpenConnections int        `json:"open_connections"`
	Snapshots       []Snapshot `json:"snapshots"`
	Policy          Policy     `json:"policy"`
	Counters        Counters   `json:"counters"`
}

// Status returns the actual state. HideCold, ReportLagMS and ReportIdle of the
// policy have no effect on it.
func (l *Leaf) Status(now time.Time) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		ID:        l.cfg.ID,
		Zone:      l.cfg.Zone,
		Service:   l.cfg.Service,
		Shard:     l.cfg.Shard,
		Address:   l.cfg.Address,
		State:     "crashed",
		Snapshots: append([]Snapshot{}, l.snapshots...),
		Policy:    l.policy,
		Counters:  l.counters,
	}
	inc := l.current
	if inc == nil {
		return s
	}
	s.Address = inc.ln.Addr().String()
	s.Instance = inc.id
	s.Running = inc.running
	s.Queued = len(inc.queue)
	s.OpenConnections = len(inc.conns)
	s.State = inc.stateName(now)
	return s
}

func (inc *incarnation) stateName(now time.Time) string {
	switch {
	case inc.frozen != nil:
		return "frozen"
	case inc.draining:
		return "draining"
	case inc.isCold(now):
		return "cold"
	}
	return "ok"
}

// Process is the set of leaves that one process runs.
type Process struct {
	Leaves []*Leaf
}

// Execute runs a command on each leaf that matches its pattern, up to the
// first error.
func (p *Process) Execute(c Command) (CommandResponse, error) {
	var response CommandResponse
	for _, l := range p.Leaves {
		matched, err := path.Match(c.Leaf, l.cfg.ID)
		if err != nil {
			return response, &CommandError{Command: c, Reason: err.Error()}
		}
		if !matched {
			continue
		}
		if err := l.execute(c); err != nil {
			return response, err
		}
		response.Leaves++
	}
	return response, nil
}

func (l *Leaf) execute(c Command) error {
	switch c.Action {
	case ActionCrash:
		l.Crash()
	case ActionStart:
		return l.Start()
	case ActionRestart:
		l.Crash()
		return l.Start()
	case ActionFreeze:
		l.Freeze()
	case ActionThaw:
		l.Thaw()
	case ActionDrain, ActionUndrain:
		l.SetDraining(c.Action == ActionDrain)
	case ActionCold:
		l.StartWarmUp()
	case ActionPublish:
		time.AfterFunc(l.PublishDelay(milliseconds(c.SpreadMS)), func() { l.Publish(c.Snapshot) })
	case ActionPolicy:
		return l.SetPolicy(func(p *Policy) error { return json.Unmarshal(c.Policy, p) })
	default:
		return &CommandError{Command: c, Reason: "no such action"}
	}
	return nil
}

// ServeControl serves POST /control, GET /control/leaves and
// GET /control/truth?leaf=ID&from=INDEX, which returns the leaf's attempt log from
// the record with that index on. It doesn't check the method. An INDEX that is not
// a number counts as 0.
func (p *Process) ServeControl(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/control":
		p.serveCommand(ctx)
	case "/control/leaves":
		now := time.Now()
		all := []Status{}
		for _, l := range p.Leaves {
			all = append(all, l.Status(now))
		}
		writeJSON(ctx, all)
	case "/control/truth":
		p.serveAttemptLog(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (p *Process) serveCommand(ctx *fasthttp.RequestCtx) {
	var c Command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	response, err := p.Execute(c)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, response)
}

func (p *Process) serveAttemptLog(ctx *fasthttp.RequestCtx) {
	from, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("from")))
	id := string(ctx.QueryArgs().Peek("leaf"))
	for _, l := range p.Leaves {
		if l.cfg.ID == id {
			writeJSON(ctx, l.AttemptLog(from))
			return
		}
	}
	ctx.Error("no such leaf", fasthttp.StatusNotFound)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

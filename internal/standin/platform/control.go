package platform

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// ControlPath is the path that sets a replica's faults (POST) and returns its
// state (GET).
const ControlPath = "/control"

// State is the response to a GET of ControlPath.
type State struct {
	Reads          ReadCounts `json:"reads"`
	FolderRevision uint64     `json:"folder_revision"`
	VMsRevision    uint64     `json:"vms_revision"`
	ConfigFault    Fault      `json:"config_fault"`
	VMsFault       Fault      `json:"vms_fault"`
}

// Handler returns the replica's handler for ControlPath and the platform's API.
func (r *Replica) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != ControlPath {
			r.ServeAPI(ctx)
			return
		}
		if ctx.IsPost() {
			r.serveControl(ctx)
			return
		}
		writeJSON(ctx, r.State(time.Now()))
	}
}

func (r *Replica) serveControl(ctx *fasthttp.RequestCtx) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	now := time.Now()
	r.SetFault(f, now)
	writeJSON(ctx, r.State(now))
}

// State returns the revisions that the replica serves, its active faults and its
// request counts.
func (r *Replica) State(now time.Time) State {
	return State{
		Reads:          r.Reads(),
		FolderRevision: r.folder(now).revision,
		VMsRevision:    r.vmList(now).revision,
		ConfigFault:    r.fault(ResourceConfig, now).Fault,
		VMsFault:       r.fault(ResourceVMs, now).Fault,
	}
}

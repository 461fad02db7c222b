package platform

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	filesPrefix = "/v1/config/files/"
	// watchInterval is the interval at which a long poll checks for a change.
	watchInterval = 20 * time.Millisecond
	// maxWait is the maximum duration of a long poll.
	maxWait = 60 * time.Second
)

type fileEntry struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision"`
	Publisher string `json:"publisher,omitempty"`
}

type folderResponse struct {
	Revision uint64      `json:"revision"`
	Files    []fileEntry `json:"files"`
}

type vmsResponse struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// ServeAPI handles one request of the protocol in docs/PLATFORM.md.
func (r *Replica) ServeAPI(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if !ctx.IsGet() {
		ctx.Error("the platform is read-only", fasthttp.StatusMethodNotAllowed)
		return
	}
	switch {
	case path == "/v1/config":
		r.count(&r.reads.Config)
		r.serveFolder(ctx)
	case strings.HasPrefix(path, filesPrefix):
		r.count(&r.reads.Files)
		r.serveFile(ctx, strings.TrimPrefix(path, filesPrefix))
	case path == "/v1/vms":
		r.count(&r.reads.VMs)
		r.serveVMs(ctx)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

func (r *Replica) serveFolder(ctx *fasthttp.RequestCtx) {
	if !r.applyMode(ctx, ResourceConfig) {
		return
	}
	changed := waitForChange(ctx, func(since uint64) bool { return r.folder(time.Now()).revision > since })
	if !changed || !r.applyMode(ctx, ResourceConfig) {
		return
	}
	f := r.folder(time.Now())
	response := folderResponse{Revision: f.revision, Files: []fileEntry{}}
	for _, file := range f.files {
		response.Files = append(response.Files, fileEntry{file.Name, file.Revision, file.Publisher})
	}
	writeJSON(ctx, response)
}

func (r *Replica) serveFile(ctx *fasthttp.RequestCtx, name string) {
	if !r.applyMode(ctx, ResourceConfig) {
		return
	}
	for _, file := range r.folder(time.Now()).files {
		if file.Name != name {
			continue
		}
		ctx.Response.Header.Set("X-Revision", strconv.FormatUint(file.Revision, 10))
		if file.Publisher != "" {
			ctx.Response.Header.Set("X-Publisher", file.Publisher)
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(file.Content)
		return
	}
	ctx.Error("no such file", fasthttp.StatusNotFound)
}

func (r *Replica) serveVMs(ctx *fasthttp.RequestCtx) {
	if !r.applyMode(ctx, ResourceVMs) {
		return
	}
	changed := waitForChange(ctx, func(since uint64) bool { return r.vmList(time.Now()).revision > since })
	if !changed || !r.applyMode(ctx, ResourceVMs) {
		return
	}
	l := r.vmList(time.Now())
	writeJSON(ctx, vmsResponse{Revision: l.revision, VMs: append([]VM{}, l.vms...)})
}

// applyMode applies the mode of the resource's fault. It returns false if it has
// responded with an error.
func (r *Replica) applyMode(ctx *fasthttp.RequestCtx, p Resource) bool {
	for r.fault(p, time.Now()).Mode == ModeHang {
		time.Sleep(watchInterval)
	}
	if r.fault(p, time.Now()).Mode == ModeRefuse {
		ctx.Error("the service is down", fasthttp.StatusServiceUnavailable)
		return false
	}
	return true
}

// waitForChange waits until newer returns true for the client's revision. It
// returns false if it has responded with 304 or 400.
func waitForChange(ctx *fasthttp.RequestCtx, newer func(since uint64) bool) bool {
	args := ctx.QueryArgs()
	if !args.Has("since") {
		return true
	}
	since, err := strconv.ParseUint(string(args.Peek("since")), 10, 64)
	if err != nil {
		ctx.Error("since is no revision", fasthttp.StatusBadRequest)
		return false
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	end := time.Now().Add(min(wait, maxWait))
	for !newer(since) {
		if !time.Now().Before(end) {
			ctx.SetStatusCode(fasthttp.StatusNotModified)
			return false
		}
		time.Sleep(watchInterval)
	}
	return true
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

package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

const controlTimeout = 10 * time.Second

// upstreams is a client of the stand-in upstreams' control listeners.
type upstreams struct {
	controls []string
}

// statuses returns the status of all upstreams.
func (u *upstreams) statuses() ([]leaf.Status, error) {
	var out []leaf.Status
	for _, control := range u.controls {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+control+"/control/leaves", controlTimeout)
		if err != nil || status != fasthttp.StatusOK {
			return nil, fmt.Errorf("%s: status %d, %w", control, status, err)
		}
		var page []leaf.Status
		if err := json.Unmarshal(body, &page); err != nil {
			return nil, err
		}
		out = append(out, page...)
	}
	return out, nil
}

// sendCommand sends a command to all processes that run upstreams.
func (u *upstreams) sendCommand(c leaf.Command) error {
	content, err := json.Marshal(c)
	if err != nil {
		return err
	}
	for _, control := range u.controls {
		req := fasthttp.AcquireRequest()
		resp := fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + control + "/control")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(content)
		err := fasthttp.DoTimeout(req, resp, controlTimeout)
		if err == nil && resp.StatusCode() != fasthttp.StatusOK {
			err = fmt.Errorf("%s: %s", control, resp.Body())
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if err != nil {
			return err
		}
	}
	return nil
}

// setPolicy sets the given JSON members of the policy of all upstreams.
func (u *upstreams) setPolicy(members string) error {
	return u.sendCommand(leaf.Command{Leaf: "*", Action: leaf.ActionPolicy, Policy: json.RawMessage(members)})
}

// totals aggregates the counters of all upstreams.
type totals struct {
	received       uint64
	shed           uint64
	overruns       uint64
	maxRunningCold int
	// inZone counts the requests that the upstreams of one zone received.
	inZone uint64
}

func (u *upstreams) totals(zone string) (totals, error) {
	all, err := u.statuses()
	if err != nil {
		return totals{}, err
	}
	var t totals
	for _, s := range all {
		t.received += s.Counters.Received
		t.shed += s.Counters.Shed
		t.overruns += s.Counters.Overruns
		t.maxRunningCold = max(t.maxRunningCold, s.Counters.MaxRunningCold)
		if s.Zone == zone {
			t.inZone += s.Counters.Received
		}
	}
	return t, nil
}

type zoneFile struct {
	Zones map[string]zoneEntry `json:"zones"`
}

type zoneEntry struct {
	Out bool `json:"out"`
}

// setZone publishes whether the zone is out of service. The file is replaced
// atomically.
func (c *Config) setZone(out bool) error {
	content, err := json.Marshal(zoneFile{Zones: map[string]zoneEntry{c.Zone: {Out: out}}})
	if err != nil {
		return err
	}
	part := c.ZoneFile + ".part"
	if err := os.WriteFile(part, content, 0o644); err != nil {
		return err
	}
	return os.Rename(part, c.ZoneFile)
}

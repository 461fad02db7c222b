package servedaemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/dissemination"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/routing"
)

// statusTimeout is how long Status waits for the control goroutine.
const statusTimeout = time.Second

// Status is the status document, which `ryecourse status` shows.
type Status struct {
	VM            string               `json:"vm"`
	Zone          string               `json:"zone"`
	Ready         bool                 `json:"ready"`
	ReadyReason   string               `json:"ready_reason"`
	ConfigVersion uint64               `json:"config_version"`
	ConfigDigest  string               `json:"config_digest"`
	ListRevision  uint64               `json:"list_revision"`
	ListAgeMs     int64                `json:"list_age_ms"` // negative: unknown
	VMs           int                  `json:"vms"`
	PlatformReads uint64               `json:"platform_reads"`
	Running       int64                `json:"running"`
	Reader        bool                 `json:"reader"` // whether this daemon reads the platform for its zone
	Dissemination dissemination.Counts `json:"spread"`
	Decisions     catalog.Counts       `json:"decisions"`
	Quota         quota.Status         `json:"quota"`
	Routing       routing.Status       `json:"routing"`
}

// Ready implements operator.Source.
func (d *Daemon) Ready() (bool, string) {
	select {
	case <-d.draining:
		return false, "shutting down"
	default:
	}
	if d.control.State.View() == nil {
		return false, "no configuration or VM list yet"
	}
	if !d.control.State.Fresh(time.Now()) {
		return false, "the view is too old"
	}
	if !d.control.State.StartupComplete() {
		return false, "no shares of upstreams or limits yet"
	}
	return true, "ready"
}

// Status implements operator.Source.
func (d *Daemon) Status() any {
	st := Status{
		VM:            d.settings.VM,
		Zone:          d.settings.Zone,
		PlatformReads: d.configService.Reads(),
		Running:       d.callers.Running(),
	}
	st.Ready, st.ReadyReason = d.Ready()
	if v := d.control.State.View(); v != nil {
		st.ConfigVersion, st.ConfigDigest = v.Catalog.Version, v.Catalog.Digest
		st.ListRevision, st.VMs = v.List.Revision, len(v.List.VMs)
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	d.control.Call(ctx, func(now time.Time) {
		st.ListAgeMs = -1
		if age, ok := d.disseminator.ListAge(now); ok {
			st.ListAgeMs = age.Milliseconds()
		}
		st.Reader = d.disseminator.IsReader()
		st.Dissemination = d.disseminator.Counts()
		st.Decisions = d.disseminator.Decisions()
		st.Routing = d.router.Status(now)
		st.Quota = d.quota.Status(now)
	})
	return st
}

func (d *Daemon) registerGauges() {
	d.registerConnectionGauges()
	d.metrics.Gauge("running_requests", func() float64 { return float64(d.callers.Running()) })
	d.metrics.Gauge("platform_reads", func() float64 { return float64(d.configService.Reads()) })
	d.metrics.Gauge("control_memory_bytes", func() float64 { return float64(d.controlMemory.Used()) })
	d.metrics.Gauge("control_responses_over_memory", func() float64 { return float64(d.controlMemory.Refused()) })
	d.metrics.Gauge("upstream_responses_over_memory", func() float64 { return float64(d.pool.Stats.OverMemory.Load()) })
	d.metrics.Gauge("upstream_dials", func() float64 { return float64(d.pool.Stats.Dials.Load()) })
	d.metrics.Gauge("upstream_dial_errors", func() float64 { return float64(d.pool.Stats.DialErrors.Load()) })
	d.metrics.Gauge("upstream_requests", func() float64 { return float64(d.pool.Stats.Requests.Load()) })
	d.metrics.Gauge("upstream_mismatches", func() float64 { return float64(d.pool.Stats.Mismatches.Load()) })
	d.metrics.Gauge("upstream_lost", func() float64 { return float64(d.pool.Stats.ConnectionsLost.Load()) })
	d.metrics.Gauge("upstream_canceled", func() float64 { return float64(d.pool.Stats.Canceled.Load()) })
}

// seedPeers returns the seed peers, of which only the addresses are known.
func seedPeers(addresses []string) []membership.VM {
	var out []membership.VM
	for _, a := range addresses {
		out = append(out, membership.VM{PeerAddress: a})
	}
	return out
}

func newRand() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(randomUint64(), randomUint64()))
}

func randomUint64() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails; see crypto/rand
	return binary.LittleEndian.Uint64(b[:])
}

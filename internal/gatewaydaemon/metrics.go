package gatewaydaemon

import (
	"net"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"ryecourse.example/ryecourse/internal/core/connbudget"
)

const (
	// metricsPort must match deploy/system.toml.
	metricsPort = 9464
	metricsPath = "/metrics"
)

func (d *Daemon) metricsAddress() string {
	return net.JoinHostPort(d.settings.CallerAddr.Addr().String(), strconv.Itoa(metricsPort))
}

// metricsServer is the operators' listener. It serves counters and histograms in the
// Prometheus text format, and explains where a request would go.
func (d *Daemon) metricsServer() *http.Server {
	d.registerGauges()
	d.registerPaceMetrics()
	d.registerConnectionMetrics()
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc(RoutePath, d.explainRoute)
	return controlServer(mux)
}

func (d *Daemon) registerGauges() {
	gauge := func(name string, f func() float64) {
		d.metrics.NewGauge("ryecourse_gateway_"+name, f)
	}
	gauge("knowledge_age_seconds", func() float64 { return d.follower.Age().Seconds() })
	gauge("config_version", func() float64 {
		if v := d.follower.View(); v != nil {
			return float64(v.Table.Config.Version)
		}
		return 0
	})
	gauge("fleet_vms", func() float64 { return float64(d.size.Load().VMs) })
	gauge("limited_upstreams", func() float64 { return float64(d.limits.Totals().Instances) })
	gauge("limited_upstreams_per_second", func() float64 { return d.limits.Totals().PerSecond })
	gauge("limited_upstreams_demand", func() float64 { return d.limits.Totals().Demand })
	gauge("upstream_connections", func() float64 {
		open, _, _ := d.pools.Stats()
		return float64(open)
	})
	gauge("attempts_waiting", func() float64 { return float64(d.pools.Waiting()) })
	gauge("response_memory_bytes", func() float64 { return float64(d.pools.MemoryUsed()) })
	gauge("control_memory_bytes", func() float64 { return float64(d.control.all.Used()) })
	gauge("control_responses_over_memory", func() float64 { return float64(d.control.all.Refused() + d.control.peers.Refused()) })
	gauge("upstreams_without_share", func() float64 { return float64(d.unshared.Load()) })
	gauge("upstream_connections_opened", func() float64 {
		_, _, dials := d.pools.Stats()
		return float64(dials)
	})
	gauge("ready", func() float64 {
		if d.ready() {
			return 1
		}
		return 0
	})
}

// registerConnectionMetrics registers what accepted connections hold.
func (d *Daemon) registerConnectionMetrics() {
	value := func(name, label, of string, f func(u connbudget.Usage) float64) {
		if label != "" {
			name += "{" + label + `="` + of + `"}`
		}
		d.metrics.NewGauge("ryecourse_gateway_"+name, func() float64 { return f(d.conns.Usage()) })
	}
	value("connection_memory_bytes", "", "", func(u connbudget.Usage) float64 { return float64(u.Bytes) })
	value("connection_charges_denied_total", "", "", func(u connbudget.Usage) float64 { return float64(u.Denied) })
	for i := range connbudget.Classes {
		class := connbudget.Class(i).String()
		value("connections", "class", class, func(u connbudget.Usage) float64 { return float64(u.Conns[i]) })
		value("connections_rejected_total", "class", class, func(u connbudget.Usage) float64 { return float64(u.Rejected[i]) })
	}
	for i := range connbudget.Phases {
		value("connections_evicted_total", "phase", connbudget.Phase(i).String(), func(u connbudget.Usage) float64 { return float64(u.Evicted[i]) })
	}
}

package gatewaydaemon

import (
	"net"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
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
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		d.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc(RoutePath, d.explainRoute)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
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

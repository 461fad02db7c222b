package gatewaydaemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"ryecourse.example/ryecourse/platform"
)

const (
	// headerTimeout bounds the time that a caller takes to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is above any limit of the configuration, so that a request never
	// crosses the close of an idle connection.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes is above the limit that callers keep to.
	maxHeaderBytes = 64 << 10

	// drainTime is how long a stopping VM goes on taking requests: the balancer
	// needs two missed checks, one a second.
	drainTime = 3500 * time.Millisecond
	// shutdownMargin is kept from the end of the grace period.
	shutdownMargin = 400 * time.Millisecond

	// maxReadyAge is the age of knowledge from which a VM leaves the rotation, so
	// that callers with keys come to VMs that can serve them.
	maxReadyAge = 3500 * time.Millisecond
)

func (d *Daemon) callerServer() *http.Server {
	return &http.Server{
		Handler:           d.gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// readiness answers the balancer's checks.
func (d *Daemon) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (d *Daemon) ready() bool {
	select {
	case <-d.stopping:
		return false
	default:
	}
	return d.follower.View() != nil && d.follower.Age() < maxReadyAge
}

// shutdown leaves the rotation, goes on serving for a while and ends when the
// last request has its answer.
func (d *Daemon) shutdown(callers *http.Server) {
	began := time.Now()
	d.log.Event("stop").Str("phase", "draining").Send()
	d.stopOnce.Do(func() { close(d.stopping) })
	d.gateway.StartDraining()
	grace := d.settings.Bounds.ShutdownGrace
	time.Sleep(min(drainTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-shutdownMargin))
	defer cancel()
	err := callers.Shutdown(ctx)
	d.exchanger.Leave(ctx)
	e := d.log.Event("stop").Str("phase", "ended").Dur("took_ms", time.Since(began))
	if err != nil {
		e.Str("error", err.Error())
	}
	e.Send()
}

const (
	// dialTimeout is far above the time of a handshake in the region.
	dialTimeout = 400 * time.Millisecond
	// storeIdleTimeout is below the idle timeouts of HTTP servers in common use.
	storeIdleTimeout = 20 * time.Second
)

// upstreamDialer opens connections to upstreams.
type upstreamDialer struct{ d net.Dialer }

func dialer() *upstreamDialer {
	return &upstreamDialer{net.Dialer{Timeout: dialTimeout, KeepAlive: -1}}
}

func (u *upstreamDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	return u.d.DialContext(ctx, "tcp", address)
}

// storeClient opens a new connection after each failure, since one that has
// gone silent never recovers.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     storeIdleTimeout,
		DisableCompression:  true,
	}}
}

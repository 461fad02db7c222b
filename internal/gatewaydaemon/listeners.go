package gatewaydaemon

import (
	"net"
	"net/http"
	"time"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/platform"
)

const (
	// headerTimeout limits the time in which a caller sends its headers.
	headerTimeout = 10 * time.Second
	// controlReadTimeout limits the time in which another VM or an operator sends a request. It
	// exceeds the time that any of their requests takes.
	controlReadTimeout = 30 * time.Second
	// idleTimeout exceeds any configured limit, so that a caller never sends a
	// request on an idle connection that is being closed.
	idleTimeout = 5 * time.Minute
	// maxHeaderBytes exceeds the limit that callers keep to.
	maxHeaderBytes = 64 << 10

	// maxReadyAge is the metadata age above which a VM isn't ready, so that
	// callers with keys are routed to VMs that can serve them.
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

// peerServer serves other VMs.
func (d *Daemon) peerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(d.exchanger.Handler())
	return controlServer(mux)
}

// controlServer serves anyone but callers.
func controlServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           connlimit.Handler(h),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       controlReadTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// readiness answers the load balancer's health checks.
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

const (
	// dialTimeout is far above the time of a handshake within the region.
	dialTimeout = 400 * time.Millisecond
	// storeIdleTimeout is below the idle timeouts of common HTTP servers.
	storeIdleTimeout = 20 * time.Second
)

// upstreamDialer opens connections to upstreams.
func upstreamDialer() net.Dialer {
	return net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: respbody.LimitReceiveBuffer}
}

// storeClient returns the HTTP client of the metadata store. A connection on
// which a request fails isn't reused, as one that stopped responding never
// recovers. Its responses are decoded as they arrive, so that their memory is
// charged by platform.Store.
func storeClient() *http.Client {
	return &http.Client{Transport: respbody.Transport(nil, 1, &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: storeIdleTimeout,
	}, dialTimeout)}
}

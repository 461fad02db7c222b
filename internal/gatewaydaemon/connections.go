package gatewaydaemon

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"

	"golang.org/x/sys/unix"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/connbudget"
	"ryecourse.example/ryecourse/internal/graceful"
	"ryecourse.example/ryecourse/internal/respbody"
	"ryecourse.example/ryecourse/platform"
)

const (
	// connectionMemoryFraction is the fraction of the process's memory limit that accepted
	// connections and upstreams' responses may hold together, socket buffers included. The
	// rest is for the runtime, for metadata, and for garbage.
	connectionMemoryFraction = 0.4
	// otherDescriptors are left for files.
	otherDescriptors = 200
	// defaultDescriptors is the limit of a process without one.
	defaultDescriptors = 4096
	// minConnections is the least limit on the connections of a class.
	minConnections = 8
)

// connectionFractions are the fractions of the process's sockets that each class of accepted
// connections may take. The rest is for connections to upstreams, to other VMs and to the store.
var connectionFractions = [connbudget.Classes]float64{
	connbudget.Callers: 0.5, connbudget.VMs: 0.15, connbudget.HealthChecks: 0.02, connbudget.Operators: 0.02,
}

const (
	// controlMemoryFraction is the fraction of the process's memory that responses of the store
	// and of other VMs may hold together while they are read, and peerMemoryFraction the part
	// of it that other VMs may take, so that changes of the store can be read beside them.
	controlMemoryFraction = 0.25
	peerMemoryFraction    = 0.75
)

// controlMemory is what responses of the store and of other VMs are charged to.
type controlMemory struct{ all, peers *respbody.Memory }

func newControlMemory(memoryMB int) controlMemory {
	limit := int64(math.MaxInt64 / 2)
	if memoryMB > 0 {
		limit = int64(float64(memoryMB<<20) * controlMemoryFraction)
	}
	all := respbody.NewMemory(limit)
	return controlMemory{all: all, peers: all.Part(int64(float64(limit) * peerMemoryFraction))}
}

// connectionLimits returns the limits on accepted connections.
func connectionLimits(s platform.Settings) connbudget.Limits {
	descriptors := s.MaxDescriptors
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err == nil && r.Cur < uint64(descriptors) {
		descriptors = int(r.Cur)
	}
	sockets := max(descriptors-otherDescriptors, descriptors/2)
	var conns [connbudget.Classes]int
	for class, fraction := range connectionFractions {
		conns[class] = max(int(float64(sockets)*fraction), minConnections)
	}
	bytes := int64(math.MaxInt64 / 2)
	if s.MemoryMB > 0 {
		bytes = int64(float64(s.MemoryMB<<20) * connectionMemoryFraction)
	}
	return connlimit.Limits(bytes, conns)
}

// logPressure logs that connections were evicted or refused.
func (d *Daemon) logPressure(u connbudget.Usage) {
	e := d.log.Event("connection_pressure").Int64("bytes", u.Bytes).Int64("response_bytes", u.Responses).Int64("denied", u.Denied)
	for class, n := range u.Conns {
		e.Int(connbudget.Class(class).String(), n)
	}
	for phase, n := range u.Evicted {
		e.Int64(connbudget.Phase(phase).EvictedField(), n)
	}
	e.Send()
}

// listen serves operators or health checks.
func (d *Daemon) listen(address string, class connbudget.Class, s *http.Server, errs chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s.ConnState, s.ConnContext = connlimit.OnState, connlimit.ConnContext
	serve(d.conns.Listen(l, class), s, errs)
	return nil
}

// listenGracefully serves on a listener that can be drained.
func (d *Daemon) listenGracefully(address string, class connbudget.Class, s *http.Server, errs chan<- error) (*graceful.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	g := graceful.NewListener(d.conns.Listen(l, class), graceful.Policy{HeadTimeout: headerTimeout, OnCut: d.logCut})
	s.ConnState, s.ConnContext, s.Handler = g.OnState, connlimit.ConnContext, g.Handler(s.Handler)
	serve(g, s, errs)
	return g, nil
}

func serve(l net.Listener, s *http.Server, errs chan<- error) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			errs <- err
		}
	}()
}

package peer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
	"ryecourse.example/ryecourse/internal/gen/peer/v1/peerv1connect"
)

// stub answers probes, exchanges and requests for files with fixed content.
type stub struct {
	peerv1connect.UnimplementedPeerServiceHandler
	list   *peerv1.VMList
	change *peerv1.VMListChange
	names  []*peerv1.FileRevision
}

func (s *stub) Probe(context.Context, *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return &peerv1.ProbeResponse{Sender: benchSender(), Claim: &peerv1.Claim{ListRevision: 1 << 30, Settled: true}}, nil
}

func (s *stub) Exchange(context.Context, *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return &peerv1.ExchangeResponse{Sender: benchSender(), List: s.list, ListChange: s.change}, nil
}

func benchSender() *peerv1.Sender {
	return &peerv1.Sender{Fleet: "cz-central", Vm: "vm-cz-a-0123", Incarnation: 1 << 63, Zone: "cz-a"}
}

func (s *stub) FetchFiles(context.Context, *peerv1.FetchFilesRequest) (*peerv1.FetchFilesResponse, error) {
	content := []byte(`{"customers":{"customer-0001":{"rate":10,"burst":20}}}`)
	return &peerv1.FetchFilesResponse{All: s.names, Files: []*peerv1.File{{Name: "f", Revision: 1, Content: content}}}, nil
}

// benchList returns a list with random names, so that they compress no better
// than the names of a real platform.
func benchList(n int) *peerv1.VMList {
	rng := rand.New(rand.NewPCG(1, 2))
	list := &peerv1.VMList{Revision: 1 << 30}
	for i := range n {
		list.Vms = append(list.Vms, &peerv1.VM{
			Id:          fmt.Sprintf("vm-%010x", rng.Uint64()>>24),
			Zone:        fmt.Sprintf("cz-%02d", i%20),
			PeerAddress: fmt.Sprintf("10.%d.%d.%d:7401", rng.IntN(256), rng.IntN(256), rng.IntN(256)),
		})
	}
	return list
}

func benchNames(n int) []*peerv1.FileRevision {
	rng := rand.New(rand.NewPCG(3, 4))
	var out []*peerv1.FileRevision
	for i := range n {
		out = append(out, &peerv1.FileRevision{
			Name: fmt.Sprintf("30-customer-%04d.json", i), Revision: 1<<30 + rng.Uint64N(10000*365),
		})
	}
	return out
}

// countingListener counts the bytes that its connections transfer.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, l: l}, err
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.out.Add(int64(n))
	return n, err
}

// benchIdentity is the identity of both daemons. The client sends only the
// proof of the fleet.
func benchIdentity() Identity {
	return Identity{Fleet: "cz-central", Secret: "s", VM: "vm-other"}
}

func listen(b *testing.B, h *stub) *countingListener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counting := &countingListener{Listener: ln}
	server := NewServer(benchIdentity(), h, func(Refusal) {})
	served := make(chan error, 1)
	go func() { served <- server.Serve(counting) }()
	b.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		<-served
	})
	return counting
}

// processorTime returns the CPU time of this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure runs calls and reports the CPU time of both ends together, and the
// bytes that each end sends.
func measure(b *testing.B, ln *countingListener, call func() error) {
	if err := call(); err != nil { // opens the connection
		b.Fatal(err)
	}
	in, out, cpu := ln.in.Load(), ln.out.Load(), processorTime(b)
	for b.Loop() {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	n := float64(b.N)
	b.ReportMetric(float64(processorTime(b)-cpu)/n, "cpu-ns/call")
	b.ReportMetric(float64(ln.in.Load()-in)/n, "B-sent/call")
	b.ReportMetric(float64(ln.out.Load()-out)/n, "B-answered/call")
}

// BenchmarkCall measures a probe over loopback, HTTP included.
func BenchmarkCall(b *testing.B) {
	ln := listen(b, &stub{})
	client := NewClient(benchIdentity())
	req := &peerv1.ProbeRequest{Sender: benchSender(), Claim: &peerv1.Claim{ListRevision: 1 << 30, Settled: true}}
	measure(b, ln, func() error {
		_, err := client.Probe(ln.Addr().String(), req)
		return err
	})
}

// BenchmarkCallWithList measures an exchange that carries a VM list.
func BenchmarkCallWithList(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			list := benchList(n)
			ln := listen(b, &stub{list: list})
			client := NewClient(benchIdentity())
			req := &peerv1.ExchangeRequest{Sender: benchSender(), Digest: &peerv1.Digest{ConfigVersion: 1 << 30}}
			measure(b, ln, func() error {
				_, err := client.Exchange(ln.Addr().String(), req)
				return err
			})
		})
	}
}

// BenchmarkCallWithChange measures an exchange whose response carries the
// changes of some VMs.
func BenchmarkCallWithChange(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("changed=%d", n), func(b *testing.B) {
			change := &peerv1.VMListChange{Base: 1 << 30, Revision: 1<<30 + 1, Changed: benchList(n).GetVms()}
			ln := listen(b, &stub{change: change})
			client := NewClient(benchIdentity())
			req := &peerv1.ExchangeRequest{Sender: benchSender(), Digest: &peerv1.Digest{ConfigVersion: 1 << 30}}
			measure(b, ln, func() error {
				_, err := client.Exchange(ln.Addr().String(), req)
				return err
			})
		})
	}
}

// BenchmarkCallForChanges measures fetching one changed file from a peer that
// knows the client's files, of which some names have changed.
func BenchmarkCallForChanges(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("changed=%d", n), func(b *testing.B) {
			ln := listen(b, &stub{names: benchNames(n)})
			client := NewClient(benchIdentity())
			req := &peerv1.FetchFilesRequest{Sender: benchSender(), Digest: "0123456789abcdef"}
			measure(b, ln, func() error {
				_, err := client.FetchFiles(ln.Addr().String(), req)
				return err
			})
		})
	}
}

// BenchmarkCallForFiles measures fetching one changed file.
func BenchmarkCallForFiles(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2500} {
		b.Run(fmt.Sprintf("files=%d", n), func(b *testing.B) {
			names := benchNames(n)
			ln := listen(b, &stub{names: names})
			client := NewClient(benchIdentity())
			req := &peerv1.FetchFilesRequest{Sender: benchSender(), Have: names}
			measure(b, ln, func() error {
				_, err := client.FetchFiles(ln.Addr().String(), req)
				return err
			})
		})
	}
}

// BenchmarkInbound measures the listener's memory for each open connection. The
// clients are plain sockets that have sent one request.
func BenchmarkInbound(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			ln := listen(b, &stub{})
			var used float64
			for b.Loop() {
				before := memoryInUse()
				conns := make([]net.Conn, 0, n)
				for range n {
					conns = append(conns, dialOnce(b, ln.Addr().String()))
				}
				used = float64(memoryInUse()-before) / float64(n)
				for _, c := range conns {
					_ = c.Close()
				}
			}
			b.ReportMetric(used, "B/conn")
		})
	}
}

// dialOnce opens a connection, sends a probe and reads the response's status
// line.
func dialOnce(b *testing.B, addr string) net.Conn {
	body, err := proto.Marshal(&peerv1.ProbeRequest{Sender: benchSender(), Claim: &peerv1.Claim{Settled: true}})
	if err != nil {
		b.Fatal(err)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Type: application/proto\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		peerv1connect.PeerServiceProbeProcedure, proofHeader, benchIdentity().proof(), len(body), body)
	if err != nil {
		b.Fatal(err)
	}
	const ok = "HTTP/1.1 200 OK"
	statusLine := make([]byte, len(ok))
	if _, err := io.ReadFull(c, statusLine); err != nil || string(statusLine) != ok {
		b.Fatalf("got %q, %v", statusLine, err)
	}
	return c
}

// memoryInUse returns the bytes of the heap and of goroutine stacks in use.
func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

package upstream

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"
)

// BenchmarkConnections reports the pool's memory for each idle connection,
// including its reader's stack, to upstreams that only accept connections. The
// timed part is a SetLimits call without a change.
func BenchmarkConnections(b *testing.B) {
	for _, hosts := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("upstreams=%d", hosts), func(b *testing.B) {
			limits := listenAll(b, hosts)
			before := memoryInUse()
			pool := NewPool(nil)
			defer pool.Close()
			pool.SetLimits(limits)
			for _, l := range limits {
				for pool.Connections(l.Address) == 0 || isDialing(pool, l.Address) {
					time.Sleep(time.Millisecond)
				}
			}
			used := memoryInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				pool.SetLimits(limits)
			}
			b.ReportMetric(float64(used)/float64(hosts), "B/conn")
		})
	}
}

func isDialing(p *Pool, addr string) bool {
	h := p.host(addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opening > 0
}

// listenAll listens on n addresses and keeps the accepted connections open.
func listenAll(b *testing.B, n int) []Limit {
	var out []Limit
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				b.Cleanup(func() { _ = c.Close() })
			}
		}()
		out = append(out, Limit{Address: ln.Addr().String(), Max: 1, MinOpen: 1})
	}
	return out
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

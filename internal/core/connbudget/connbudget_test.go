package connbudget

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fakeConn records its evictions.
type fakeConn struct{ evictions []Phase }

// Evict implements Evictor.
func (f *fakeConn) Evict(p Phase) { f.evictions = append(f.evictions, p) }

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const kb = 1 << 10

func testLimits() Limits {
	l := Limits{Bytes: 1000 * kb, Reserve: 200 * kb, Responses: 400 * kb, OpenBytes: kb, RequestBytes: 10 * kb}
	for class := range l.Classes {
		l.Classes[class] = ClassLimit{Conns: 8, Bytes: 1000 * kb}
	}
	l.Classes[VMs].Bytes = 100 * kb
	return l
}

// open returns an open connection in a phase, which has moved some bytes in it.
func open(t *testing.T, b *Budget, class Class, p Phase, since time.Duration, moved int) *Conn {
	t.Helper()
	c, _ := b.Open(at(since), class, &fakeConn{})
	if c == nil {
		t.Fatal("the connection is rejected")
	}
	if p != Idle {
		b.Begin(at(since), c)
		b.Enter(at(since), c, p)
		b.Move(at(since), c, moved)
	}
	return c
}

func charge(t *testing.T, b *Budget, c *Conn, now time.Duration, n int64, want Decision) []Victim {
	t.Helper()
	got, victims := b.Charge(at(now), c, n)
	if got != want {
		t.Fatalf("charge of %d KB: decision %d, want %d; %+v", n/kb, got, want, b.Usage())
	}
	return victims
}

// expectVictims compares the victims, in order.
func expectVictims(t *testing.T, got []Victim, want ...*Conn) {
	t.Helper()
	var conns []Evictor
	for _, v := range got {
		conns = append(conns, v.Evictor)
	}
	var wanted []Evictor
	for _, c := range want {
		wanted = append(wanted, c.evictor)
	}
	if !slices.Equal(conns, wanted) {
		t.Errorf("%d victims, want %d", len(conns), len(wanted))
	}
}

// TestWhoHoldsMostAndMovesLeastIsEvicted guards against newcomers that are refused because of
// connections that have stalled.
func TestWhoHoldsMostAndMovesLeastIsEvicted(t *testing.T) {
	b := New(testLimits())
	fast := open(t, b, Callers, Body, 0, 1<<20)
	stalled := open(t, b, Callers, Body, 0, 100*kb)
	slow := open(t, b, Callers, Sending, 0, 0)
	running := open(t, b, Callers, Running, 0, 0)
	for _, c := range []*Conn{fast, stalled, running} {
		charge(t, b, c, 0, 200*kb, Granted)
	}
	charge(t, b, slow, 0, 100*kb, Granted)
	newcomer := open(t, b, Callers, Body, time.Second, 0)
	b.Move(at(3*time.Second), fast, 1)
	expectVictims(t, charge(t, b, newcomer, 3*time.Second, 250*kb, Retry), slow, stalled)
	// They are not chosen twice.
	expectVictims(t, charge(t, b, newcomer, 3*time.Second, 250*kb, Retry))
	b.Close(slow)
	b.Close(stalled)
	charge(t, b, newcomer, 3*time.Second, 250*kb, Granted)
	if b.Enter(at(3*time.Second), stalled, Running) {
		t.Error("a request of an evicted connection may run")
	}
}

// TestNewcomerIsRefusedWhereAllMakeProgress guards against eviction of callers that send at a
// fair pace, and of requests that upstreams run.
func TestNewcomerIsRefusedWhereAllMakeProgress(t *testing.T) {
	b := New(testLimits())
	for _, p := range []Phase{Body, Sending, Running} {
		c := open(t, b, Callers, p, 0, 1<<20)
		charge(t, b, c, 0, 240*kb, Granted)
		if p != Running {
			b.Move(at(2*time.Second), c, 1)
		}
	}
	newcomer := open(t, b, Callers, Body, time.Second, 0)
	expectVictims(t, charge(t, b, newcomer, 2*time.Second, 240*kb, Denied))
	if u := b.Usage(); u.Denied != 1 {
		t.Errorf("%d denied", u.Denied)
	}
}

// TestReserveIsLeftToSmallRequests guards against large requests that leave no room for others.
func TestReserveIsLeftToSmallRequests(t *testing.T) {
	b := New(testLimits())
	large := open(t, b, Callers, Running, 0, 0)
	charge(t, b, large, 0, 780*kb, Granted)
	charge(t, b, large, 0, 20*kb, Denied)
	charge(t, b, open(t, b, Callers, Body, 0, 0), 0, 10*kb, Granted)
}

// TestClassesAreBounded guards against a crowd at one listener that takes the memory of others.
func TestClassesAreBounded(t *testing.T) {
	b := New(testLimits())
	vm := open(t, b, VMs, Running, 0, 0)
	charge(t, b, vm, 0, 80*kb, Granted)
	charge(t, b, vm, 0, 80*kb, Denied)
	charge(t, b, open(t, b, Callers, Body, 0, 0), 0, 80*kb, Granted)
}

// TestResponsesEvictSlowReaders guards against responses that are dropped after upstreams have
// run their requests, because of callers that read slowly.
func TestResponsesEvictSlowReaders(t *testing.T) {
	b := New(testLimits())
	reader := open(t, b, Callers, Sending, 0, 0)
	for range 4 {
		if d, _ := b.ChargeResponse(at(0), 100*kb); d != Granted {
			t.Fatal("not granted")
		}
	}
	b.Lend(reader, 100*kb)
	other := open(t, b, Callers, Body, 0, 0)
	charge(t, b, other, 0, 100*kb, Granted)
	d, victims := b.ChargeResponse(at(time.Second), 50*kb)
	if d != Retry {
		t.Errorf("decision %d", d)
	}
	expectVictims(t, victims, reader)
	b.Close(reader)
	b.ReleaseResponse(100 * kb)
	if d, _ := b.ChargeResponse(at(time.Second), 50*kb); d != Granted {
		t.Errorf("decision %d", d)
	}
}

// TestNewcomerReplacesUnusedConnections guards against connections that send nothing and keep
// others out, and against idle connections of ordinary callers that go first.
func TestNewcomerReplacesUnusedConnections(t *testing.T) {
	b := New(testLimits())
	used := open(t, b, Callers, Running, 0, 0)
	b.End(at(0), used)
	head := open(t, b, Callers, Head, time.Second, 0)
	unused := open(t, b, Callers, Idle, 2*time.Second, 0)
	for range 5 {
		open(t, b, Callers, Running, 0, 0)
	}
	for _, want := range []*Conn{unused, head, used} {
		c, victims := b.Open(at(3*time.Second), Callers, &fakeConn{})
		if c == nil {
			t.Fatal("rejected")
		}
		expectVictims(t, victims, want)
		b.Close(want)
		b.Begin(at(3*time.Second), c)
		b.Enter(at(3*time.Second), c, Running)
	}
	if c, victims := b.Open(at(3*time.Second), Callers, &fakeConn{}); c != nil || len(victims) > 0 {
		t.Error("a connection above the limit is accepted")
	}
	if c, _ := b.Open(at(3*time.Second), VMs, &fakeConn{}); c == nil {
		t.Error("a connection of another class is rejected")
	}
}

// TestRequestOnEvictedIdleConnectionIsServed guards against a request that is dropped because it
// arrives while its idle connection is evicted.
func TestRequestOnEvictedIdleConnectionIsServed(t *testing.T) {
	b := New(testLimits())
	idle := open(t, b, Callers, Idle, 0, 0)
	for range 8 {
		open(t, b, Callers, Idle, time.Second, 0)
	}
	if ok, _ := b.Begin(at(time.Second), idle); !ok || !b.Enter(at(time.Second), idle, Running) {
		t.Error("the request is refused")
	}
}

// TestAccountsBalance checks that whatever connections do, charges add up to the usage, only
// what holds a request is evicted for memory, and nothing is left when all have closed.
func TestAccountsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(testLimits())
		now := start
		held := map[*Conn]int64{} // beyond what is charged for each connection
		var responses, detached int64
		requests := map[*Conn]bool{}
		var list []*Conn
		pick := func(t *rapid.T) *Conn {
			if len(list) == 0 {
				t.Skip("no connection")
			}
			return list[rapid.IntRange(0, len(list)-1).Draw(t, "conn")]
		}
		size := rapid.Int64Range(1, 300*kb)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				if c, _ := b.Open(now, Class(rapid.IntRange(0, Classes-1).Draw(t, "class")), &fakeConn{}); c != nil {
					list, held[c] = append(list, c), 0
				}
			},
			"close": func(t *rapid.T) {
				c := pick(t)
				b.Close(c)
				list = slices.DeleteFunc(list, func(x *Conn) bool { return x == c })
				delete(held, c)
				delete(requests, c)
			},
			"begin": func(t *rapid.T) {
				c := pick(t)
				b.Begin(now, c)
				requests[c] = true
			},
			"end": func(t *rapid.T) {
				c := pick(t)
				b.End(now, c)
				delete(requests, c)
			},
			"enter": func(t *rapid.T) {
				if c := pick(t); requests[c] {
					b.Enter(now, c, Phase(rapid.IntRange(int(Body), int(Sending)).Draw(t, "phase")))
				}
			},
			"charge": func(t *rapid.T) {
				c, n := pick(t), size.Draw(t, "bytes")
				if d, victims := b.Charge(now, c, n); d == Granted {
					held[c] += n
					if len(victims) > 0 {
						t.Fatal("evictions for a granted charge")
					}
					if u := b.Usage(); u.Bytes > b.limits.Bytes {
						t.Fatalf("%d bytes are granted", u.Bytes)
					}
				}
			},
			"release": func(t *rapid.T) {
				c := pick(t)
				b.Release(c, held[c])
				held[c] = 0
			},
			"detach": func(t *rapid.T) {
				c := pick(t)
				b.Detach(c, held[c])
				detached += held[c]
				held[c] = 0
			},
			"respond": func(t *rapid.T) {
				n := size.Draw(t, "bytes")
				if d, _ := b.ChargeResponse(now, n); d == Granted {
					responses += n
				}
			},
			"responded": func(*rapid.T) {
				b.ReleaseResponse(responses)
				responses = 0
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				want := responses + detached + int64(len(list))*b.limits.OpenBytes + int64(len(requests))*b.limits.RequestBytes
				for _, n := range held {
					want += n
				}
				u := b.Usage()
				if u.Bytes != want || u.Responses != responses {
					t.Fatalf("%d bytes, want %d; %d of responses, want %d", u.Bytes, want, u.Responses, responses)
				}
				if u.Evicted[Running] > 0 {
					t.Fatal("a running request was evicted")
				}
				for class, n := range u.Conns {
					if limit := b.limits.Classes[class].Conns; n > limit+max(limit/8, 1) {
						t.Fatalf("%d connections of class %d", n, class)
					}
				}
			},
		})
	})
}

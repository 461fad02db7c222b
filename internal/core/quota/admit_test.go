package quota_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/quota"
)

func TestAdmitAllocatesNothing(t *testing.T) {
	f := warmFleet(1000)
	d, now := f.Nodes[0].Daemon, f.Time()
	if n := testing.AllocsPerRun(1000, func() { d.Admit(now, "x") }); n > 0 {
		t.Errorf("%.1f allocations for each admission", n)
	}
	if d.Admit(now, "unknown").OK {
		t.Error("an unknown customer was admitted")
	}
}

// TestAdmitConcurrently admits from several goroutines at one moment, while the
// control side lends. No token may be spent twice.
func TestAdmitConcurrently(t *testing.T) {
	// The VM has more tokens than are requested, so that both sides get some.
	f := warmFleet(1e5)
	m := f.Nodes[0].Daemon.(*quota.Manager)
	now := f.Time()
	before := m.Status(now).Customers[0].Tokens
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				if m.Admit(now, "x").OK {
					admitted.Add(1)
				}
			}
		})
	}
	var lent int64
	for id := range uint64(20) {
		want := lease.Share{Rate: 1e6, Capacity: 1e6, Tokens: 1e6}
		resp, _ := m.OnLend(now, quota.LendRequest{
			Borrower: fmt.Sprint(id), Incarnation: 1, ID: 1,
			Requests: []lease.ShareRequest{{Customer: "x", Requested: want}},
		})
		for _, g := range resp.Grants {
			lent += g.Share.Tokens
		}
	}
	wg.Wait()
	const micro = 1_000_000
	left := m.Status(now).Customers[0].Tokens
	if spent := admitted.Load()*micro + lent + left; spent > before {
		t.Errorf("%d micro-requests spent, lent and left of %d", spent, before)
	}
	if admitted.Load() == 0 || lent == 0 {
		t.Errorf("admitted %d and lent %d: one side got no tokens", admitted.Load(), lent)
	}
}

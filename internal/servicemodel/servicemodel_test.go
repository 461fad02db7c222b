package servicemodel

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/placement"
	"ryecourse.example/ryecourse/internal/core/retrybudget"
	"ryecourse.example/ryecourse/internal/core/routetable"
	"ryecourse.example/ryecourse/internal/simclock"
)

var start = time.Unix(1_700_000_000, 0)

// TestEachRequestEndsOnce checks that the model loses no request and that upstreams are
// idle after the last one, at twice the load that they bear.
func TestEachRequestEndsOnce(t *testing.T) {
	const shards, replicas, requests = 8, 3, 2000
	clock, rng := simclock.New(start), rand.New(rand.NewPCG(1, 1))
	upstreams, announced := map[string]*Upstream{}, map[string][]routetable.Upstream{}
	kind := &Kind{Name: "k", MinShare: 1, Work: 15 * time.Millisecond, Spread: 0.35, Objective: 150 * time.Millisecond, Timeout: 800 * time.Millisecond, Attempts: 2}
	for s := range shards {
		service := fmt.Sprint("s", s)
		kind.Services = append(kind.Services, service)
		for r := range replicas {
			a := routetable.Upstream{ID: fmt.Sprintf("%s-%d", service, r), Service: service, Zone: "a", Slots: 4}
			announced[service] = append(announced[service], a)
			upstreams[a.ID] = NewUpstream(clock, rng, a, Behavior{Slots: 4, QueueLimit: 24, PauseEvery: 3600 * time.Millisecond, PauseLength: 150 * time.Millisecond})
		}
	}
	p := placement.NewPicker("a", rng, nil)
	p.Update(start, announced, nil, nil)
	vm := NewVM(clock, rng, p, retrybudget.New(clock.Now, 0.17, retrybudget.Limit{Burst: 20}), upstreams, 500*time.Microsecond)
	ended := 0
	for i := range requests {
		clock.After(time.Duration(i)*625*time.Microsecond, func() { vm.Run(kind, func(Result) { ended++ }) })
	}
	clock.Run(nil)
	if ended != requests {
		t.Errorf("%d of %d requests ended", ended, requests)
	}
	for id, u := range upstreams {
		if l := u.Load(); l.Running != 0 || l.Queued != 0 {
			t.Errorf("%s is left with %+v", id, l)
		}
	}
}

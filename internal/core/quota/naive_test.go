package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/lease"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/core/quota"
	"ryecourse.example/ryecourse/internal/core/quota/quotasim"
)

// fullLimit gives every VM the whole limit.
type fullLimit struct {
	*quota.Manager
	limits map[string]*quotasim.Curve
}

func (d *fullLimit) OnCatalog(now time.Time, c *catalog.Catalog) []quota.Action {
	for name, customer := range c.Customers {
		d.limits[name] = &quotasim.Curve{Rate: customer.Rate, Burst: customer.Burst}
	}
	return nil
}

func (d *fullLimit) Admit(now time.Time, customer string) quota.Decision {
	at := now.Sub(quotasim.Epoch)
	c := d.limits[customer]
	return quota.Decision{OK: c != nil && c.HasRoom(at) && c.Admit(at)}
}

// listOwner holds a slot while its list ranks the VM first, after a wait that
// may be 0. It doesn't consult peers.
type listOwner struct {
	*lease.Owner
	self     membership.VM
	wait     time.Duration
	list     *membership.List
	listedAt time.Duration
	held     [lease.SlotsPerZone]bool
	since    [lease.SlotsPerZone]time.Duration
}

func (o *listOwner) SetList(now membership.ClockReading, list *membership.List) []lease.SlotChange {
	o.Owner.SetList(now, list)
	o.list, o.listedAt = list, now.Mono
	return o.Update(now)
}

func (o *listOwner) Update(now membership.ClockReading) []lease.SlotChange {
	o.Owner.Update(now)
	if o.list == nil {
		return nil
	}
	var out []lease.SlotChange
	zone := membership.InZone(o.list.VMs, o.self.Zone)
	for i := range o.held {
		ranked := lease.SlotCandidates(o.self.Zone, i, zone)
		first := len(ranked) > 0 && ranked[0].ID == o.self.ID && !o.Draining()
		may := first && (o.held[i] || now.Mono >= o.listedAt+o.wait)
		if may == o.held[i] {
			continue
		}
		o.held[i], o.since[i] = may, now.Mono
		out = append(out, lease.SlotChange{Slot: i, Acquired: may})
	}
	return out
}

func (o *listOwner) Settled() bool                          { return o.list != nil }
func (o *listOwner) Supported(membership.ClockReading) bool { return true }
func (o *listOwner) Holds(slot int) bool                    { return o.held[slot] }

func (o *listOwner) Available(now membership.ClockReading, slot int, _ string, share lease.Share) lease.Share {
	if !o.held[slot] || now.Mono < o.since[slot]+lease.LoanReclaimWait {
		return lease.Share{}
	}
	return share.Curve()
}

func (o *listOwner) UntilNextIncrease(now membership.ClockReading) time.Duration {
	return lease.LoanReclaimWait
}

func (o *listOwner) HeldUntil(now membership.ClockReading) (membership.ClockReading, bool) {
	return now.Add(time.Hour), true
}

// noPauseCheck keeps the owned shares valid without confirmation by peers.
type noPauseCheck struct{ *lease.Owner }

func (o noPauseCheck) HeldUntil(now membership.ClockReading) (membership.ClockReading, bool) {
	until, ok := o.Owner.HeldUntil(now)
	return until.Add(time.Hour), ok
}

// noLoanWait uses a slot's share at once, although a previous holder may have
// lent from it.
type noLoanWait struct{ *lease.Owner }

func (o noLoanWait) Available(now membership.ClockReading, slot int, customer string, share lease.Share) lease.Share {
	return o.Owner.Available(now.Add(lease.LoanReclaimWait), slot, customer, share)
}

// earlyLender reclaims loans before the borrower's term has ended.
type earlyLender struct{ *lease.Lender }

func (l earlyLender) Expire(now membership.ClockReading) []lease.Loan {
	return l.Lender.Expire(now.Add(lease.LoanReclaimWait - lease.LoanTerm + 700*time.Millisecond))
}

// fromReceipt starts the term when the answer arrives instead of when the
// request was sent.
type fromReceipt struct{ *lease.Borrower }

func (b fromReceipt) Accept(now membership.ClockReading, lender string, id uint64) (membership.ClockReading, bool) {
	until, _ := b.Borrower.Accept(now, lender, id)
	if until == (membership.ClockReading{}) {
		return until, false
	}
	return now.Add(lease.LoanTerm), true
}

// acceptsAll accepts duplicate and late answers.
type acceptsAll struct{ *lease.Borrower }

func (b acceptsAll) Accept(now membership.ClockReading, lender string, id uint64) (membership.ClockReading, bool) {
	b.Borrower.Accept(now, lender, id)
	return now.Add(lease.LoanTerm), true
}

func withOverrides(s quota.Overrides) func(p quota.Params) quotasim.Daemon {
	return func(p quota.Params) quotasim.Daemon { return quota.NewWithOverrides(p, s) }
}

func withListOwner(wait time.Duration) func(p quota.Params) quotasim.Daemon {
	return withOverrides(quota.Overrides{Owner: func(o *lease.Owner, p quota.Params) quota.SlotOwner {
		return &listOwner{Owner: o, self: p.Self, wait: wait}
	}})
}

// variant is a scheme that lacks one rule, with the faults that make it fail.
type variant struct {
	build  func(p quota.Params) quotasim.Daemon
	faults []string
}

func brokenVariants() map[string]variant {
	list := []string{"drop", "stale", "cutVM", "kill", "waitLong", "waitLong"}
	pauses := []string{"drop", "freezeLong", "waitLong"}
	loans := []string{"demand", "wait", "wait", "network", "cutVM", "heal"}
	return map[string]variant{
		"FullLimitEverywhere": {faults: []string{"wait"}, build: func(p quota.Params) quotasim.Daemon {
			return &fullLimit{Manager: quota.New(p), limits: make(map[string]*quotasim.Curve)}
		}},
		"NoHoldDown":  {faults: list, build: withListOwner(0)},
		"NoFreshness": {faults: list, build: withListOwner(lease.HoldDown)},
		"NoPauseCheck": {faults: pauses, build: withOverrides(quota.Overrides{
			Owner: func(o *lease.Owner, _ quota.Params) quota.SlotOwner { return noPauseCheck{o} },
		})},
		"NoRestartWait": {faults: []string{"restart", "kill", "wait", "demand"}, build: withOverrides(quota.Overrides{
			Owner: func(o *lease.Owner, _ quota.Params) quota.SlotOwner { return noLoanWait{o} },
		})},
		"NoMargin": {faults: loans, build: withOverrides(quota.Overrides{
			Lender: func(l *lease.Lender) quota.LoanLedger { return earlyLender{l} },
		})},
		"TermFromReceipt": {faults: []string{"demand", "pauseAsking", "waitLong"}, build: withOverrides(quota.Overrides{
			Borrower: func(b *lease.Borrower) quota.RequestTracker { return fromReceipt{b} },
		})},
		"AnswersTwice": {faults: loans, build: withOverrides(quota.Overrides{
			Borrower: func(b *lease.Borrower) quota.RequestTracker { return acceptsAll{b} },
		})},
	}
}

// TestRapidNaiveFail requires the check of TestRapidCurve to fail for each
// scheme that lacks a rule.
func TestRapidNaiveFail(t *testing.T) {
	for name, v := range brokenVariants() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(25) {
				if found := findViolation(seed, v); found != "" {
					t.Logf("seed %d: %s", seed, found)
					return
				}
			}
			t.Fatal("no run went over the curve")
		})
	}
}

// findViolation runs one world under random faults and returns its failure, if
// any.
func findViolation(seed uint64, v variant) string {
	const steps = 40
	w := newWorld(seed, func(f *quotasim.Fleet) { f.New = v.build })
	w.run(warmUp)
	all := faults()
	r := rand.New(rand.NewPCG(seed, 2))
	for range steps {
		if w.failure != "" {
			break
		}
		all[v.faults[r.IntN(len(v.faults))]](w, r.IntN)
		w.run(time.Duration(r.IntN(300)) * time.Millisecond)
	}
	return w.failure
}

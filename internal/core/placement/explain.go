package placement

import (
	"cmp"
	"slices"
	"time"
)

// Exclusion is why an instance isn't picked.
type Exclusion string

// Exclusions; Usable is none.
const (
	Usable    Exclusion = ""
	Draining  Exclusion = "draining"
	Replaced  Exclusion = "replaced"
	Evacuated Exclusion = "evacuated_zone"
	// Closed means that the instance has stated that it leaves, or takes no requests of
	// this VM for a while.
	Closed Exclusion = "closed"
	// Cold means that the instance warms up and this VM may not send to it now.
	Cold Exclusion = "cold"
	// AtLimit means that the limit that the instance states doesn't admit the attempt.
	AtLimit Exclusion = "at_limit"
)

// Candidate is an instance as Pick would consider it.
type Candidate struct {
	Instance, Zone string
	Excluded       Exclusion
	// OpensIn is the time until an instance that takes no requests of this VM does again;
	// 0 if it isn't known.
	OpensIn time.Duration
	// Score is the expected latency in multiples of the typical one, with penalties, and
	// without the random part, which is below ScoreJitter. The lowest is picked.
	Score float64
	// Slowness is the observed latency in multiples of the typical one, Penalty that for
	// failures and rejections.
	Slowness, Penalty float64
	// InFlight is the number of this VM's attempts; Slots is that of the instance.
	InFlight, Slots int
	// ReportedLoad is the running and queued requests per slot, reported LoadAge ago;
	// LoadAge is negative without a report. Loads older than LoadMaxAge aren't used.
	ReportedLoad float64
	LoadAge      time.Duration
	Avoided      bool // lately full or unreachable
	Overdue      bool // an attempt is overdue
	IsCold       bool
	// AdmittedFraction is the fraction of attempts that the instance's stated limit
	// admits; 1 without a limit.
	AdmittedFraction float64
}

const (
	// ScoreJitter is the most that chance adds to a score.
	ScoreJitter = jitter
	// LoadMaxAge is how long a reported load is used.
	LoadMaxAge = loadMaxAge
)

// limitPeeker is implemented by Limits that can return what Admit would decide.
type limitPeeker interface {
	Peek(instance string) (ok bool, fraction float64)
}

// Explain returns the instances of a service, the usable ones first, in the order in
// which Pick prefers them but for chance. It starts no attempt and counts none.
func (p *Picker) Explain(now time.Time, r Request) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Candidate, 0, len(p.services[r.Service]))
	for _, inst := range p.services[r.Service] {
		out = append(out, p.candidate(now, inst, &r))
	}
	slices.SortStableFunc(out, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a.Excluded), rank(b.Excluded)), cmp.Compare(a.Score, b.Score))
	})
	return out
}

// rank sorts usable instances before excluded ones.
func rank(e Exclusion) int {
	if e == Usable {
		return 0
	}
	return 1
}

// candidate describes an instance. The caller holds mu.
func (p *Picker) candidate(now time.Time, inst *Instance, r *Request) Candidate {
	scarcity := r.ExtraAttemptScarcity
	c := Candidate{
		Instance: inst.Announcement.ID, Zone: inst.Announcement.Zone, Slots: inst.Announcement.Slots,
		Score:    inst.score(now, p.zone, p.remotePenalty(r.TypicalLatency), 0, scarcity, noPace),
		Slowness: inst.slowness, Penalty: inst.penalty + inst.rejectPenaltySum*scarcity,
		InFlight: len(inst.inFlight), ReportedLoad: inst.reportedLoad, LoadAge: now.Sub(inst.loadReportedAt),
		Avoided: now.Before(inst.avoidUntil), Overdue: inst.overdue(now), IsCold: now.Before(inst.coldUntil),
		AdmittedFraction: 1,
	}
	if inst.loadReportedAt.IsZero() {
		c.LoadAge = -time.Millisecond
	}
	c.Excluded, c.OpensIn = p.exclusion(now, inst)
	if peeker, ok := p.limits.(limitPeeker); ok && c.Excluded == Usable {
		admitted, fraction := peeker.Peek(c.Instance)
		if c.AdmittedFraction = fraction; !admitted {
			c.Excluded = AtLimit
		}
	}
	return c
}

// notAllowed returns why an instance isn't allowed.
func (p *Picker) notAllowed(inst *Instance) Exclusion {
	switch {
	case inst.replaced:
		return Replaced
	case inst.Announcement.Draining:
		return Draining
	}
	return Evacuated
}

// exclusion returns why Pick would skip an instance. The caller holds mu.
func (p *Picker) exclusion(now time.Time, inst *Instance) (e Exclusion, opensIn time.Duration) {
	if !p.allowed(inst) {
		return p.notAllowed(inst), 0
	}
	if open, opensIn := p.isOpen(now, inst); !open {
		return Closed, opensIn
	}
	if now.Before(inst.coldUntil) && !inst.cold.allow(now) {
		return Cold, 0
	}
	return Usable, 0
}

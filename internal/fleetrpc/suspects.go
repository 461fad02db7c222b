package fleetrpc

import (
	"context"
	"time"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/quarantine"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
)

// SuspectTracker holds the requests under which upstreams have ended, see
// quarantine.Tracker. Times are on the clock of the reports.
type SuspectTracker interface {
	Tick(now time.Duration)
	Digest() uint64
	Suspects() []quarantine.Suspect
	Merge(now time.Duration, suspects []quarantine.Suspect)
}

// suspectsFor returns the digest of this VM's suspects, and the suspects for a VM with
// another digest.
func (e *Exchanger) suspectsFor(now time.Duration, digest uint64) (own uint64, suspects []*fleetv1.Suspect) {
	own = e.suspects.Digest()
	if own != digest {
		suspects = encodeSuspects(now, e.suspects.Suspects())
	}
	return own, suspects
}

func encodeSuspects(now time.Duration, suspects []quarantine.Suspect) []*fleetv1.Suspect {
	out := make([]*fleetv1.Suspect, 0, len(suspects))
	for i := range suspects {
		s := &suspects[i]
		m := &fleetv1.Suspect{Fingerprint: s.Fingerprint}
		for _, c := range s.Crashes {
			m.Instances = append(m.Instances, c.Instance)
			m.CrashAgesMs = append(m.CrashAgesMs, ageMs(now, c.At))
		}
		if s.RespondedAt > 0 {
			m.ResponseAgeMs = 1 + ageMs(now, s.RespondedAt)
		}
		out = append(out, m)
	}
	return out
}

func decodeSuspects(now time.Duration, suspects []*fleetv1.Suspect) []quarantine.Suspect {
	out := make([]quarantine.Suspect, 0, len(suspects))
	for _, m := range suspects {
		s := quarantine.Suspect{Fingerprint: m.Fingerprint}
		for i, instance := range m.Instances[:min(len(m.Instances), len(m.CrashAgesMs))] {
			s.Crashes = append(s.Crashes, quarantine.Crash{Instance: instance, At: timeOf(now, m.CrashAgesMs[i])})
		}
		if m.ResponseAgeMs > 0 {
			s.RespondedAt = timeOf(now, m.ResponseAgeMs-1)
		}
		out = append(out, s)
	}
	return out
}

// ageMs returns the age of a time in milliseconds.
func ageMs(now, at time.Duration) uint32 { return uint32(max(now-at, 0).Milliseconds()) }

// timeOf returns the time of an age in milliseconds.
func timeOf(now time.Duration, ageMs uint32) time.Duration {
	return now - time.Duration(ageMs)*time.Millisecond
}

// SpreadSuspects sends this VM's suspects to others at once. A request that ends upstreams
// comes to several VMs within the time to the next exchange.
func (e *Exchanger) SpreadSuspects() {
	now := boottime.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range e.members.AlertTargets(now) {
		p := e.peer(address)
		if p.alerting {
			p.alertAgain = true
			continue
		}
		p.alerting = true
		go e.alert(address, p)
	}
}

// alert sends this VM's suspects to a peer, and again if they change meanwhile.
func (e *Exchanger) alert(address string, p *peer) {
	for {
		now := boottime.Now()
		e.mu.Lock()
		p.alertAgain = false
		req := &fleetv1.ExchangeRequest{}
		req.SuspectsDigest, req.Suspects = e.suspectsFor(now, p.suspectsDigest)
		e.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		resp, err := p.client.Exchange(ctx, req)
		cancel()
		e.mu.Lock()
		if err == nil {
			e.suspects.Merge(boottime.Now(), decodeSuspects(boottime.Now(), resp.Suspects))
			p.suspectsDigest = resp.SuspectsDigest
		} else {
			e.log.Event("alert_failed").Str("peer", address).Str("error", err.Error()).Send()
		}
		again := p.alertAgain && err == nil
		p.alerting = again
		e.mu.Unlock()
		if !again {
			return
		}
	}
}

// onAlert handles a request without reports.
func (e *Exchanger) onAlert(now time.Duration, req *fleetv1.ExchangeRequest) *fleetv1.ExchangeResponse {
	before := e.suspects.Digest()
	e.suspects.Merge(now, decodeSuspects(now, req.Suspects))
	resp := &fleetv1.ExchangeResponse{}
	resp.SuspectsDigest, resp.Suspects = e.suspectsFor(now, req.SuspectsDigest)
	e.mu.Lock()
	passesOn := e.members.PassesAlertsOn(now)
	e.mu.Unlock()
	if passesOn && resp.SuspectsDigest != before {
		e.SpreadSuspects()
	}
	return resp
}

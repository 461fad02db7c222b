package lease

import "time"

// The timing parameters of the scheme. All VMs of a fleet must use the same
// values. A test checks the relations that safety requires: HoldDown >
// AnswerTerm, LoanReclaimWait > LoanTerm, DrainTerm >= AnswerTerm,
// NoSettledPeerWait >= HoldDown.
const (
	// AnswerTerm is how long a peer's answer about its view counts, from when
	// the probe was sent.
	AnswerTerm = 2 * time.Second
	// HoldDown is the wait before a slot passes to a new holder without a
	// handover from the previous one. It exceeds AnswerTerm by the clock margin.
	HoldDown = 2500 * time.Millisecond
	// LoanTerm is how long a share is lent.
	LoanTerm = 2 * time.Second
	// LoanReclaimWait is the time after which a lender reclaims a share that
	// was not returned. It exceeds LoanTerm by the clock margin.
	LoanReclaimWait = 2200 * time.Millisecond
	// SettleWait is the shortest time from the start of a process until it may
	// hold slots or support the views of others. It leaves the VMs of its zone
	// time to learn of the process and to wait for HoldDown, so that they can
	// hand slots over.
	SettleWait = 5 * time.Second
	// NoSettledPeerWait replaces the support of settled peers where there are
	// none: after the loss of a whole zone or the start of a whole fleet.
	NoSettledPeerWait = 6 * time.Second
	// DrainTerm is how long a draining VM is known to hold no slot. A process
	// that has settled but can't reach all VMs of its zone waits as long.
	DrainTerm = 30 * time.Second
	// HandoverTerm is the time within which a handover must be used.
	HandoverTerm = 5 * time.Second
	// AdoptWait is the longest time for which a newer list isn't adopted
	// because VMs that it ranks above this one haven't answered yet.
	AdoptWait = 500 * time.Millisecond
	// ProbeInterval is the time between two probes of the same peer.
	ProbeInterval = 600 * time.Millisecond
	// announceInterval replaces ProbeInterval for VMs of the zone that don't
	// know yet that the process is settled.
	announceInterval = 200 * time.Millisecond
	// SlotReleaseMargin is the remaining validity of a higher-ranked
	// candidate's answer below which a slot is released.
	SlotReleaseMargin = 150 * time.Millisecond
)

const (
	// SlotsPerZone is the number of slots that a zone's part of a limit is
	// divided into.
	SlotsPerZone = 8
	// maxWitnesses is the number of VMs of the whole fleet that support the
	// views of a zone's VMs.
	maxWitnesses = 9
	// maxZoneWitnesses is the number of VMs of a zone that support views in it.
	maxZoneWitnesses = 5
	// maxCandidates is the number of candidates for one slot.
	maxCandidates = 4
)

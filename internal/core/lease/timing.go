package lease

import "time"

// The waits of the scheme. All VMs of a fleet must use the same. The relations
// that safety needs are checked by a test: HoldDown > AnswerTerm, LoanReclaimWait >
// LoanTerm, DrainTerm >= AnswerTerm, NoSettledPeerWait >= HoldDown.
const (
	// AnswerTerm is the age up to which a peer's word about its view counts,
	// from when it was asked.
	AnswerTerm = 2 * time.Second
	// HoldDown is the wait before a slot passes to an owner that got no word
	// from the one before. It exceeds EvidenceTerm by the clock margin.
	HoldDown = 2500 * time.Millisecond
	// LoanTerm is the time for which a share is lent.
	LoanTerm = 2 * time.Second
	// LoanReclaimWait is the time after which a lender takes a share back that was not
	// returned. It exceeds LoanTerm by the clock margin.
	LoanReclaimWait = 2200 * time.Millisecond
	// SettleWait is the shortest time from the start of a process until it may
	// own slots or support the view of others. It leaves time for its zone mates
	// to hear of it and wait out HoldDown, so that they can hand slots over.
	SettleWait = 5 * time.Second
	// NoSettledPeerWait replaces the support of settled peers where there are none: after
	// the loss of a whole zone or the start of a whole fleet.
	NoSettledPeerWait = 6 * time.Second
	// DrainTerm is the time for which a VM that has left is known to be out. A
	// process that could not reach its zone mates waits as long.
	DrainTerm = 30 * time.Second
	// HandoverTerm is the time within which a handover must be used.
	HandoverTerm = 5 * time.Second
	// AdoptWait is the longest time for which a newer list waits for the word of
	// VMs that it puts before this one.
	AdoptWait = 500 * time.Millisecond
	// ProbeInterval is the time between two probes of the same peer.
	ProbeInterval = 600 * time.Millisecond
	// announceInterval replaces ProbeInterval for zone mates that don't know yet
	// that the process is settled.
	announceInterval = 200 * time.Millisecond
	// SlotReleaseMargin is the remaining time of a peer's word below which a slot is
	// given up.
	SlotReleaseMargin = 150 * time.Millisecond
)

const (
	// SlotsPerZone is the number of slots that a zone's part is cut into.
	SlotsPerZone = 8
	// maxWitnesses is the number of VMs that support views fleet-wide.
	maxWitnesses = 9
	// maxZoneWitnesses is the number of VMs that support views in a zone.
	maxZoneWitnesses = 5
	// maxCandidates is the number of VMs that stand by for one slot.
	maxCandidates = 4
)

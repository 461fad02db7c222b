package dissemination

import (
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// exchangeInterval is the interval of the regular exchanges of one daemon.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout limits the wait for a peer's response to an exchange.
	exchangeTimeout = time.Second
	// maxPeerBackoff limits the back-off before an exchange with an unresponsive
	// peer is retried.
	maxPeerBackoff = 2 * time.Second
	// One in randomEvery regular exchanges goes to a random daemon instead of a
	// neighbour, and one in otherZoneEvery of those to another zone. Neighbours are
	// derived from the VM list. A daemon with a different list may not be a
	// neighbour of any daemon that has the newest one; these exchanges reach it
	// nevertheless.
	randomEvery    = 4
	otherZoneEvery = 4
	// maxPeers limits the number of peers, besides the neighbours, whose state is
	// kept. Peers with an exchange in flight are kept beyond it.
	maxPeers = 64
)

// peer is the state that a daemon keeps for another one.
type peer struct {
	vm         membership.VM
	inFlight   bool
	seq        Seq
	sentAt     time.Time
	expires    time.Time
	failures   int
	retryAt    time.Time
	lastDigest Digest
	// notifyPending is set if the peer may not know of this daemon's newest state.
	notifyPending bool
}

// gossip is the state of the exchanges with peers.
type gossip struct {
	peers map[string]*peer
	// nextExchange is when the next regular exchange is due, and rounds counts the
	// regular exchanges.
	nextExchange time.Time
	rounds       int
	// lastReceived is when the last message from any peer arrived.
	lastReceived time.Time
	// pulls holds the pulls in flight by peer. While there are any, the next one
	// may not begin before nextPull.
	pulls    map[string]pullState
	nextPull time.Time
	// pullCandidates holds the digests of the peers whose configuration is newer, or
	// differs at the same version, by VM id.
	pullCandidates map[string]Digest
	// uselessConfigDigests holds configuration digests that differ from this
	// daemon's although the peer had nothing new. This occurs if the peer runs
	// another release of the software.
	uselessConfigDigests map[string]bool
	// updatePending is set if the neighbours must be notified of new state.
	updatePending bool
}

func newGossip() gossip {
	return gossip{
		peers:                make(map[string]*peer),
		pulls:                make(map[string]pullState),
		pullCandidates:       make(map[string]Digest),
		uselessConfigDigests: make(map[string]bool),
	}
}

// markUpdated records that the daemon's state has changed.
func (g *gossip) markUpdated() {
	g.updatePending = true
	clear(g.uselessConfigDigests)
}

// reset discards all requests in flight, the pull candidates and the back-offs, and
// makes the next exchange and pull due at once.
func (g *gossip) reset(now time.Time) {
	g.nextExchange = now
	g.nextPull = now
	clear(g.pulls)
	clear(g.pullCandidates)
	for _, p := range g.peers {
		p.inFlight = false
		p.failures = 0
		p.retryAt = time.Time{}
	}
}

// retainListed drops the peers that are not in the VM list.
func (g *gossip) retainListed(t topology) {
	for id := range g.peers {
		if _, listed := t.byID[id]; !listed {
			delete(g.peers, id)
			delete(g.pullCandidates, id)
		}
	}
}

func (s *Disseminator) peer(vm membership.VM) *peer {
	p := s.gossip.peers[vm.ID]
	if p == nil {
		if len(s.gossip.peers) >= maxPeers+len(s.topology.neighbours) {
			s.evictNonNeighbours()
		}
		p = &peer{}
		s.gossip.peers[vm.ID] = p
	}
	p.vm = vm
	return p
}

// evictNonNeighbours drops the peers that are neither neighbours nor have an
// exchange in flight.
func (s *Disseminator) evictNonNeighbours() {
	neighbour := make(map[string]bool)
	for _, vm := range s.topology.neighbours {
		neighbour[vm.ID] = true
	}
	for id, p := range s.gossip.peers {
		if !neighbour[id] && !p.inFlight {
			delete(s.gossip.peers, id)
		}
	}
}

// exchange exchanges with the neighbours that must be notified. If the regular
// exchange is due, it starts that as well, or several exchanges while the daemon
// doesn't serve.
func (s *Disseminator) exchange(now time.Time, out *actions) {
	s.notifyNeighbours(now, out)
	if now.Before(s.gossip.nextExchange) {
		return
	}
	s.gossip.nextExchange = now.Add(s.jitter(exchangeInterval))
	if s.phase.kind != serving {
		s.exchangeWithMany(now, out)
		return
	}
	if vm, ok := s.nextExchangePeer(); ok {
		s.startExchange(now, s.peer(vm), out)
	}
}

// exchangeWithMany starts up to startAnswers exchanges at once, neighbours first,
// so that the start or the recheck ends soon. A recheck needs one response only.
func (s *Disseminator) exchangeWithMany(now time.Time, out *actions) {
	n := 0
	for _, vm := range s.topology.neighbours {
		if n < startAnswers && !s.phase.answeredPeers[vm.ID] && s.startExchange(now, s.peer(vm), out) {
			n++
		}
	}
	for range startAnswers {
		vm, ok := s.randomPeer()
		if ok && n < startAnswers && s.startExchange(now, s.peer(vm), out) {
			n++
		}
	}
}

func (s *Disseminator) nextExchangePeer() (membership.VM, bool) {
	s.gossip.rounds++
	n := len(s.topology.neighbours)
	if n == 0 || s.gossip.rounds%randomEvery == 0 {
		return s.randomPeer()
	}
	return s.topology.neighbours[s.rng.IntN(n)], true
}

func (s *Disseminator) randomPeer() (membership.VM, bool) {
	from := s.topology.ownZone
	if len(from) == 0 || len(s.topology.otherZones) > 0 && s.rng.IntN(otherZoneEvery) == 0 {
		from = s.topology.otherZones
	}
	if len(from) == 0 {
		return membership.VM{}, false
	}
	return from[s.rng.IntN(len(from))], true
}

// startExchange sends the digest to p unless an exchange with p is in flight or p
// is in back-off. It reports whether the exchange was started.
func (s *Disseminator) startExchange(now time.Time, p *peer, out *actions) bool {
	if p.inFlight || now.Before(p.retryAt) {
		return false
	}
	p.inFlight = true
	p.seq = s.nextSeq()
	p.sentAt = now
	p.notifyPending = false
	p.expires = now.Add(exchangeTimeout)
	s.counts.Exchanges++
	out.add(Exchange{Seq: p.seq, Peer: p.vm, Digest: s.Digest(now)})
	return true
}

// notifyNeighbours starts exchanges with the neighbours that may not have the
// newest state.
func (s *Disseminator) notifyNeighbours(now time.Time, out *actions) {
	own := s.Digest(now)
	for _, vm := range s.topology.neighbours {
		p := s.peer(vm)
		if s.gossip.updatePending {
			p.notifyPending = true
		}
		if p.notifyPending && !p.lastDigest.mayLackStateOf(own) {
			p.notifyPending = false
		}
		if p.notifyPending {
			s.startExchange(now, p, out)
		}
	}
	s.gossip.updatePending = false
}

// mayLackStateOf reports whether a daemon with digest d may lack a VM list or
// configuration that a daemon with digest other has.
func (d Digest) mayLackStateOf(other Digest) bool {
	return d.ListRevision < other.ListRevision || d.mayLackConfigOf(other)
}

// mayLackConfigOf reports whether the other daemon's configuration is newer, or
// differs at the same version. In the latter case the result is true for both
// daemons, as either may have prior states that the other lacks.
func (d Digest) mayLackConfigOf(other Digest) bool {
	if d.ConfigVersion != other.ConfigVersion {
		return d.ConfigVersion < other.ConfigVersion
	}
	return d.ConfigDigest != other.ConfigDigest
}

// OnPeerAnswer reports a peer's response to an Exchange. List is the peer's VM
// list if it is newer than the one in the sent digest, otherwise nil.
func (s *Disseminator) OnPeerAnswer(now time.Time, seq Seq, id string, d Digest, list *membership.List) []Action {
	out := s.beginEvent(now)
	if list != nil {
		s.adoptList(list, out)
	}
	if p := s.gossip.peers[id]; p != nil && p.inFlight && p.seq == seq {
		s.completeExchange(p, d, out)
	}
	s.handleDigest(now, id, d, out)
	return out.list
}

// OnPeerDigest reports the digest in an Exchange that a peer started. The delay of
// the message is unknown, so its ListAge doesn't confirm the VM list.
func (s *Disseminator) OnPeerDigest(now time.Time, id string, d Digest) []Action {
	out := s.beginEvent(now)
	s.handleDigest(now, id, d, out)
	return out.list
}

// handleDigest completes the events that carry a peer's digest.
func (s *Disseminator) handleDigest(now time.Time, id string, d Digest, out *actions) {
	s.gossip.lastReceived = now
	if vm, listed := s.topology.byID[id]; listed {
		s.recordDigest(now, s.peer(vm), d, out)
	}
	s.afterEvent(now, out)
}

func (s *Disseminator) completeExchange(p *peer, d Digest, out *actions) {
	p.inFlight = false
	p.failures = 0
	p.retryAt = time.Time{}
	if s.phase.kind != serving && d.ConfigVersion > 0 {
		s.phase.answeredPeers[p.vm.ID] = true
	}
	if s.list != nil && d.ListAge != UnknownAge && d.ListRevision == s.list.Revision {
		// The peer measured the age after the request was sent, so this is a lower
		// bound of the time of the confirmation.
		s.confirmList(p.sentAt.Add(-d.ListAge), out)
	}
}

// recordDigest records whether a peer has a configuration to pull, and requests its
// VM list if that is newer.
func (s *Disseminator) recordDigest(now time.Time, p *peer, d Digest, out *actions) {
	p.lastDigest = d
	own := s.Digest(now)
	if d.ConfigVersion > 0 && own.mayLackConfigOf(d) && !s.gossip.uselessConfigDigests[d.ConfigDigest] {
		if len(s.gossip.pullCandidates) < maxPullCandidates {
			s.gossip.pullCandidates[p.vm.ID] = d
		}
	} else if d.ConfigVersion >= s.gossip.pullCandidates[p.vm.ID].ConfigVersion {
		// A lower version than the recorded one is from a message that was read late,
		// or from a restarted peer. The pull shows which: its result ends the record.
		delete(s.gossip.pullCandidates, p.vm.ID)
	}
	if own.ListRevision < d.ListRevision {
		s.startExchange(now, p, out) // The response will contain the list.
	}
}

// OnExchangeError reports that an Exchange failed or timed out. An exchange whose
// result isn't reported within exchangeTimeout is ended by expirePeerRequests.
func (s *Disseminator) OnExchangeError(now time.Time, seq Seq, id string) []Action {
	out := s.beginEvent(now)
	if p := s.gossip.peers[id]; p != nil && p.inFlight && p.seq == seq {
		s.exchangeFailed(now, p)
	}
	return out.list
}

func (s *Disseminator) exchangeFailed(now time.Time, p *peer) {
	p.inFlight = false
	p.notifyPending = true
	p.retryAt = now.Add(s.jitter(min(minBackoff<<min(p.failures, 8), maxPeerBackoff)))
	p.failures++
}

func (s *Disseminator) expirePeerRequests(now time.Time) {
	for id, pull := range s.gossip.pulls {
		if !now.Before(pull.expires) {
			s.endPull(id)
		}
	}
	// Sorted, so that runs with the same random seed are identical: each failure
	// draws a random back-off. The order of the pulls above has no effect.
	for _, id := range slices.Sorted(maps.Keys(s.gossip.peers)) {
		p := s.gossip.peers[id]
		if p.inFlight && !now.Before(p.expires) {
			s.exchangeFailed(now, p)
		}
	}
}

package dissemination

import (
	"maps"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// exchangeInterval separates the regular exchanges of one daemon.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds the time for a peer's answer.
	exchangeTimeout = time.Second
	// maxPeerBackoff bounds the pause before a silent neighbour is tried again.
	maxPeerBackoff = 2 * time.Second
	// randomEvery is how often a regular exchange goes to a random daemon
	// instead of a neighbour, and outsideEvery how often that one is of another
	// zone. They heal what the neighbours of differing lists can't.
	randomEvery    = 4
	otherZoneEvery = 4
	// maxPeers bounds the peers whose state is remembered beyond the neighbours.
	maxPeers = 64
)

// peer is what a daemon remembers of another.
type peer struct {
	vm         membership.VM
	inFlight   bool
	seq        Seq
	sentAt     time.Time
	expires    time.Time
	failures   int
	retryAt    time.Time
	lastDigest Digest
	// notifyPending says that the peer hasn't heard of the newest state yet.
	notifyPending bool
}

// gossip is the state of the exchanges with peers.
type gossip struct {
	peers map[string]*peer
	// nextExchange is when the next regular exchange is due, and turn counts them.
	nextExchange time.Time
	rounds       int
	// lastReceived is when any peer was last heard.
	lastReceived time.Time
	// pulls holds the pulls in flight by peer, and pullAt is when the next may
	// begin.
	pulls    map[string]pullState
	nextPull time.Time
	// ahead holds peers that have something this daemon lacks.
	ahead map[string]Digest
	// uselessDigests holds digests of peers that had nothing new although they
	// differ, which can be when peers run another release.
	uselessDigests map[string]bool
	// updatePending says that the neighbours are to be told of something.
	updatePending bool
}

func newGossip() gossip {
	return gossip{
		peers:          make(map[string]*peer),
		pulls:          make(map[string]pullState),
		ahead:          make(map[string]Digest),
		uselessDigests: make(map[string]bool),
	}
}

// markUpdated notes that the daemon holds something new.
func (g *gossip) markUpdated() {
	g.updatePending = true
	clear(g.uselessDigests)
}

// reset forgets what was in flight.
func (g *gossip) reset(now time.Time) {
	g.nextExchange = now
	g.nextPull = now
	clear(g.pulls)
	clear(g.ahead)
	for _, p := range g.peers {
		p.inFlight = false
		p.failures = 0
		p.retryAt = time.Time{}
	}
}

// retainListed forgets the peers that the list doesn't hold.
func (g *gossip) retainListed(t topology) {
	for id := range g.peers {
		if _, listed := t.byID[id]; !listed {
			delete(g.peers, id)
			delete(g.ahead, id)
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

// evictNonNeighbours drops the idle peers that are no neighbours.
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

// exchange begins the regular exchange when it is due, and those with
// neighbours that are to be told of something.
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

// exchangeWithMany asks enough peers at once to finish the phase soon: neighbours first.
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

// startExchange sends the digest to p unless p is busy or to be left alone.
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

// notifyNeighbours sends news to the neighbours that aren't known to have it.
func (s *Disseminator) notifyNeighbours(now time.Time, out *actions) {
	own := s.Digest(now)
	for _, vm := range s.topology.neighbours {
		p := s.peer(vm)
		if s.gossip.updatePending {
			p.notifyPending = true
		}
		if p.notifyPending && !p.lastDigest.behind(own) {
			p.notifyPending = false
		}
		if p.notifyPending {
			s.startExchange(now, p, out)
		}
	}
	s.gossip.updatePending = false
}

// behind tells whether the daemon that d stands for lacks something that other
// has.
func (d Digest) behind(other Digest) bool {
	return d.ListRevision < other.ListRevision || d.configBehind(other)
}

func (d Digest) configBehind(other Digest) bool {
	if d.ConfigVersion != other.ConfigVersion {
		return d.ConfigVersion < other.ConfigVersion
	}
	return d.ConfigDigest != other.ConfigDigest
}

// OnPeerAnswer reports a peer's answer to an Exchange. List is the peer's VM
// list when it is newer than the one that was sent, else nil.
func (s *Disseminator) OnPeerAnswer(now time.Time, seq Seq, id string, d Digest, list *membership.List) []Action {
	out := s.beginEvent(now)
	if list != nil {
		s.adoptList(list, out)
	}
	if p := s.gossip.peers[id]; p != nil && p.inFlight && p.seq == seq {
		s.completeExchange(p, d, out)
	}
	s.receivedDigest(now, id, d, out)
	return out.list
}

// OnPeerDigest reports the digest that came with a peer's own Exchange. How old
// it is isn't known, so that it confirms nothing.
func (s *Disseminator) OnPeerDigest(now time.Time, id string, d Digest) []Action {
	out := s.beginEvent(now)
	s.receivedDigest(now, id, d, out)
	return out.list
}

func (s *Disseminator) receivedDigest(now time.Time, id string, d Digest, out *actions) {
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
		s.confirmList(p.sentAt.Add(-d.ListAge), out)
	}
}

func (s *Disseminator) recordDigest(now time.Time, p *peer, d Digest, out *actions) {
	p.lastDigest = d
	own := s.Digest(now)
	if d.ConfigVersion > 0 && own.configBehind(d) && !s.gossip.uselessDigests[d.ConfigDigest] {
		if len(s.gossip.ahead) < maxAheadPeers {
			s.gossip.ahead[p.vm.ID] = d
		}
	} else {
		delete(s.gossip.ahead, p.vm.ID)
	}
	if own.ListRevision < d.ListRevision {
		s.startExchange(now, p, out) // The answer will carry the list.
	}
}

// OnExchangeError reports that a peer didn't answer an Exchange.
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
	// In a fixed order, so that equal seeds give equal runs.
	for _, id := range slices.Sorted(maps.Keys(s.gossip.peers)) {
		p := s.gossip.peers[id]
		if p.inFlight && !now.Before(p.expires) {
			s.exchangeFailed(now, p)
		}
	}
}

package dissemination

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

const (
	// pullTimeout bounds the time for a peer's answer.
	pullTimeout = 1500 * time.Millisecond
	// pullHedge is the time after which another peer is asked for the same
	// files, and maxPulls bounds how many are asked at a time.
	pullHedge = 300 * time.Millisecond
	maxPulls  = 3
	// maxAheadPeers bounds the peers remembered as holding something newer.
	maxAheadPeers = 8
	// maxUselessDigests bounds the digests remembered as holding nothing new.
	maxUselessDigests = 64
)

// pullState is one pull in flight.
type pullState struct {
	digest  Digest
	expires time.Time
}

// pull asks one of the peers that are ahead for files. A peer that takes long
// is not waited for.
func (s *Disseminator) pull(now time.Time, out *actions) {
	g := &s.gossip
	if len(g.pulls) >= maxPulls || len(g.pulls) > 0 && now.Before(g.nextPull) {
		return
	}
	id, d, ok := s.newestAheadPeer(now)
	if !ok {
		return
	}
	g.pulls[id] = pullState{digest: d, expires: now.Add(pullTimeout)}
	g.nextPull = now.Add(pullHedge)
	s.counts.Pulls++
	out.add(PullFiles{Peer: s.topology.byID[id], Have: s.acceptor.Files().Revisions()})
}

// newestAheadPeer returns the peer with the newest version that isn't being asked,
// and drops those that are no longer ahead.
func (s *Disseminator) newestAheadPeer(now time.Time) (string, Digest, bool) {
	own := s.Digest(now)
	best := ""
	for id, d := range s.gossip.ahead {
		_, listed := s.topology.byID[id]
		if !listed || !own.configBehind(d) || s.gossip.uselessDigests[d.ConfigDigest] {
			delete(s.gossip.ahead, id)
			continue
		}
		if _, inFlight := s.gossip.pulls[id]; inFlight {
			continue
		}
		b := s.gossip.ahead[best]
		if best == "" || d.ConfigVersion > b.ConfigVersion || d.ConfigVersion == b.ConfigVersion && id < best {
			best = id
		}
	}
	return best, s.gossip.ahead[best], best != ""
}

// OnPulledFiles reports a peer's answer to PullFiles.
func (s *Disseminator) OnPulledFiles(now time.Time, id string, version uint64, all []catalog.FileRevision, files []catalog.File) []Action {
	out := s.beginEvent(now)
	s.gossip.lastReceived = now
	decision := s.offer(catalog.Offer{
		Version: version, Index: all, Files: files,
		Source: catalog.Source{Kind: catalog.FromPeer, Peer: id},
	}, out)
	if pull, inFlight := s.gossip.pulls[id]; inFlight {
		s.endPull(id)
		s.recordUselessDigest(pull.digest, decision)
	}
	s.afterEvent(now, out)
	return out.list
}

// recordUselessDigest remembers a digest that differs although the peer had nothing
// new under the version in force. A newer version is worth another try.
func (s *Disseminator) recordUselessDigest(d Digest, decision catalog.Decision) {
	if decision.Outcome == catalog.Accepted || d.ConfigVersion > s.acceptor.Version() {
		return
	}
	if len(s.gossip.uselessDigests) >= maxUselessDigests {
		clear(s.gossip.uselessDigests)
	}
	s.gossip.uselessDigests[d.ConfigDigest] = true
}

// OnPullError reports that a peer didn't answer PullFiles.
func (s *Disseminator) OnPullError(now time.Time, id string) []Action {
	out := s.beginEvent(now)
	s.endPull(id)
	s.pull(now, out)
	return out.list
}

// endPull ends a pull in flight. The next exchange tells whether the peer is
// still ahead.
func (s *Disseminator) endPull(id string) {
	if _, inFlight := s.gossip.pulls[id]; inFlight {
		delete(s.gossip.pulls, id)
		delete(s.gossip.ahead, id)
	}
}

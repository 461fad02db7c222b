package dissemination

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

const (
	// pullTimeout limits the wait for a peer's response to a pull.
	pullTimeout = 1500 * time.Millisecond
	// pullHedge is the delay after which the files are requested from another peer
	// as well, and maxPulls is the maximum number of concurrent pulls.
	pullHedge = 300 * time.Millisecond
	maxPulls  = 3
	// maxAheadPeers limits the number of peers recorded as being ahead.
	maxAheadPeers = 8
	// maxUselessDigests limits the number of digests recorded as useless.
	maxUselessDigests = 64
)

// pullState is one pull in flight.
type pullState struct {
	digest  Digest
	expires time.Time
}

// pull requests the files from one of the peers that are ahead. It hedges: if the
// peer doesn't respond within pullHedge, another one is queried as well.
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

// newestAheadPeer returns the peer with the newest version that has no pull in
// flight, and drops the peers that are no longer ahead.
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

// OnPulledFiles reports a peer's response to PullFiles.
func (s *Disseminator) OnPulledFiles(now time.Time, id string, version uint64, index []catalog.FileRevision, files []catalog.File) []Action {
	out := s.beginEvent(now)
	s.gossip.lastReceived = now
	decision := s.offer(catalog.Offer{
		Version: version, Index: index, Files: files,
		Source: catalog.Source{Kind: catalog.FromPeer, Peer: id},
	}, out)
	if pull, inFlight := s.gossip.pulls[id]; inFlight {
		s.endPull(id)
		s.recordUselessDigest(pull.digest, decision)
	}
	s.afterEvent(now, out)
	return out.list
}

// recordUselessDigest records a digest that differs from this daemon's although
// the peer had nothing new for the accepted version. Digests of newer versions
// aren't recorded, so that the pull is retried.
func (s *Disseminator) recordUselessDigest(d Digest, decision catalog.Decision) {
	if decision.Outcome == catalog.Accepted || d.ConfigVersion > s.acceptor.Version() {
		return
	}
	if len(s.gossip.uselessDigests) >= maxUselessDigests {
		clear(s.gossip.uselessDigests)
	}
	s.gossip.uselessDigests[d.ConfigDigest] = true
}

// OnPullError reports that a PullFiles failed or timed out.
func (s *Disseminator) OnPullError(now time.Time, id string) []Action {
	out := s.beginEvent(now)
	s.endPull(id)
	s.pull(now, out)
	return out.list
}

// endPull removes a pull in flight. The next exchange shows whether the peer is
// still ahead.
func (s *Disseminator) endPull(id string) {
	if _, inFlight := s.gossip.pulls[id]; inFlight {
		delete(s.gossip.pulls, id)
		delete(s.gossip.ahead, id)
	}
}

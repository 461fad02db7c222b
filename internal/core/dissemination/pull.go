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
	// maxPullCandidates limits the number of peers recorded as pull candidates.
	maxPullCandidates = 8
	// maxUselessConfigDigests limits the number of configuration digests recorded as
	// useless.
	maxUselessConfigDigests = 64
)

// pullState is one pull in flight.
type pullState struct {
	digest  Digest
	expires time.Time
}

// pull requests the files from one of the pull candidates. It hedges: if the peer
// doesn't respond within pullHedge, another one is queried as well.
func (s *Disseminator) pull(now time.Time, out *actions) {
	g := &s.gossip
	if len(g.pulls) >= maxPulls || len(g.pulls) > 0 && now.Before(g.nextPull) {
		return
	}
	id, d, ok := s.newestPullCandidate(now)
	if !ok {
		return
	}
	g.pulls[id] = pullState{digest: d, expires: now.Add(pullTimeout)}
	g.nextPull = now.Add(pullHedge)
	s.counts.Pulls++
	out.add(PullFiles{Peer: s.topology.byID[id], Have: s.acceptor.Files().Revisions()})
}

// newestPullCandidate returns the candidate with the newest version that has no
// pull in flight, and drops the peers that are no longer candidates.
func (s *Disseminator) newestPullCandidate(now time.Time) (string, Digest, bool) {
	own := s.Digest(now)
	best := ""
	for id, d := range s.gossip.pullCandidates {
		_, listed := s.topology.byID[id]
		if !listed || !own.mayLackConfigOf(d) || s.gossip.uselessConfigDigests[d.ConfigDigest] {
			delete(s.gossip.pullCandidates, id)
			continue
		}
		if _, inFlight := s.gossip.pulls[id]; inFlight {
			continue
		}
		b := s.gossip.pullCandidates[best]
		if best == "" || d.ConfigVersion > b.ConfigVersion || d.ConfigVersion == b.ConfigVersion && id < best {
			best = id
		}
	}
	return best, s.gossip.pullCandidates[best], best != ""
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
		s.recordUselessConfigDigest(pull.digest, decision)
	}
	s.afterEvent(now, out)
	return out.list
}

// recordUselessConfigDigest records a configuration digest that differs from this
// daemon's although the peer had nothing new for the accepted version. Digests of
// newer versions aren't recorded, so that the pull is retried.
func (s *Disseminator) recordUselessConfigDigest(d Digest, decision catalog.Decision) {
	if decision.Outcome == catalog.Accepted || d.ConfigVersion > s.acceptor.Version() {
		return
	}
	if len(s.gossip.uselessConfigDigests) >= maxUselessConfigDigests {
		clear(s.gossip.uselessConfigDigests)
	}
	s.gossip.uselessConfigDigests[d.ConfigDigest] = true
}

// OnPullError reports that a PullFiles failed or timed out.
func (s *Disseminator) OnPullError(now time.Time, id string) []Action {
	out := s.beginEvent(now)
	s.endPull(id)
	s.pull(now, out)
	return out.list
}

// endPull removes a pull in flight. The next exchange shows whether the peer still
// has another configuration.
func (s *Disseminator) endPull(id string) {
	if _, inFlight := s.gossip.pulls[id]; inFlight {
		delete(s.gossip.pulls, id)
		delete(s.gossip.pullCandidates, id)
	}
}

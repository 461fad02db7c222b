package platform

import (
	"sync"
	"time"
)

// Mode is how a replica handles requests.
type Mode string

// The modes of a replica.
const (
	// ModeOK serves requests.
	ModeOK Mode = "ok"
	// ModeRefuse responds with status 503 at once.
	ModeRefuse Mode = "refuse"
	// ModeHang accepts requests and doesn't respond while the mode lasts.
	ModeHang Mode = "hang"
)

// Resource is what a fault applies to.
type Resource string

// The resources of the platform. The empty Resource means all of them.
const (
	ResourceConfig Resource = "config"
	ResourceVMs    Resource = "vms"
)

// Fault is what a control request sets on a replica. The zero value clears all
// faults.
type Fault struct {
	// Resource limits the fault to one resource.
	Resource Resource `json:"part,omitempty"`
	// Mode is how requests are handled. Empty means ModeOK.
	Mode Mode `json:"mode,omitempty"`
	// LagMS is the delay of the state that the replica serves, in milliseconds.
	LagMS int64 `json:"lag_ms,omitempty"`
	// RevisionsBehind pins the replica to the state that many revisions before
	// the newest one at the time of the control request.
	RevisionsBehind int `json:"behind,omitempty"`
	// DurationMS is the duration of the fault, in milliseconds. Zero means that it
	// doesn't end.
	DurationMS int64 `json:"for_ms,omitempty"`
}

// activeFault is a fault with its absolute end and its pinned revision.
type activeFault struct {
	Fault
	until          time.Time
	pinnedRevision uint64
}

// Replica is one endpoint of the platform with its own faults.
type Replica struct {
	store *Store

	mu     sync.Mutex
	config activeFault
	vms    activeFault
	reads  ReadCounts
}

// ReadCounts counts requests since the start. A long poll counts as one.
type ReadCounts struct {
	Config uint64 `json:"config"`
	Files  uint64 `json:"files"`
	VMs    uint64 `json:"vms"`
}

// NewReplica returns a replica without faults.
func NewReplica(s *Store) *Replica {
	return &Replica{store: s}
}

// SetFault replaces the faults of the resource that f names, or of all of them.
func (r *Replica) SetFault(f Fault, now time.Time) {
	a := activeFault{Fault: f}
	if f.DurationMS > 0 {
		a.until = now.Add(time.Duration(f.DurationMS) * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Resource != ResourceVMs {
		r.config = a
		r.config.pinnedRevision = r.store.folderRevisionBehind(f.RevisionsBehind)
	}
	if f.Resource != ResourceConfig {
		r.vms = a
		r.vms.pinnedRevision = r.store.vmsRevisionBehind(f.RevisionsBehind)
	}
}

// fault returns the resource's fault that is active now, or none.
func (r *Replica) fault(p Resource, now time.Time) activeFault {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.config
	if p == ResourceVMs {
		a = r.vms
	}
	if !a.until.IsZero() && now.After(a.until) {
		return activeFault{}
	}
	return a
}

// Reads returns the counts of requests so far.
func (r *Replica) Reads() ReadCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

func (r *Replica) count(n *uint64) {
	r.mu.Lock()
	*n++
	r.mu.Unlock()
}

// folder returns the folder that the replica serves now.
func (r *Replica) folder(now time.Time) folder {
	f := r.fault(ResourceConfig, now)
	return r.store.folderAt(f.pinnedRevision, now.Add(-f.lag()))
}

// vmList returns the VM list that the replica serves now.
func (r *Replica) vmList(now time.Time) vmList {
	f := r.fault(ResourceVMs, now)
	return r.store.vmsAt(f.pinnedRevision, now.Add(-f.lag()))
}

func (a activeFault) lag() time.Duration {
	return time.Duration(a.LagMS) * time.Millisecond
}

// folderAt returns the newest folder that was published by time t and, unless
// revision is zero, is no newer than revision; the oldest folder if there is none.
func (s *Store) folderAt(revision uint64, t time.Time) folder {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.folders) - 1; i > 0; i-- {
		f := s.folders[i]
		if visible(f.revision, revision, f.publishedAt, t) {
			return f
		}
	}
	return s.folders[0]
}

// vmsAt is folderAt for the VM list.
func (s *Store) vmsAt(revision uint64, t time.Time) vmList {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.lists) - 1; i > 0; i-- {
		l := s.lists[i]
		if visible(l.revision, revision, l.publishedAt, t) {
			return l
		}
	}
	return s.lists[0]
}

func visible(revision, pinned uint64, publishedAt, t time.Time) bool {
	if pinned != 0 && revision > pinned {
		return false
	}
	return !publishedAt.After(t)
}

// folderRevisionBehind returns the revision n before the newest folder, or zero
// if n is zero.
func (s *Store) folderRevisionBehind(n int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n <= 0 {
		return 0
	}
	return s.folders[max(0, len(s.folders)-1-n)].revision
}

// vmsRevisionBehind is folderRevisionBehind for the VM list.
func (s *Store) vmsRevisionBehind(n int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n <= 0 {
		return 0
	}
	return s.lists[max(0, len(s.lists)-1-n)].revision
}

package dissemination

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// UnknownAge stands for the age of a list that no read has confirmed.
const UnknownAge = time.Duration(1<<63 - 1)

// Digest summarises what a daemon holds.
type Digest struct {
	// ConfigVersion is the accepted folder version, zero for none.
	ConfigVersion uint64
	// ConfigDigest identifies the accepted files.
	ConfigDigest string
	// ListRevision is the VM list's revision, zero for none.
	ListRevision uint64
	// ListAge is the time since the platform confirmed the list, or UnknownAge.
	ListAge time.Duration
}

// Action is something for the control goroutine to carry out.
type Action interface{ action() }

// Seq numbers an action whose result must be told from that of an earlier one.
// The report carries it back. Zero stands for none.
type Seq uint64

// WatchConfig asks the configuration service for a folder version above Since
// and waits up to Wait for one. Its result is reported by OnFolder,
// OnFolderUnchanged or OnServiceError.
type WatchConfig struct {
	Seq   Seq
	Since uint64
	Wait  time.Duration
}

// WatchList asks the platform for a VM list above Since and waits up to Wait
// for one. Its result is reported by OnList, OnListUnchanged or OnServiceError.
type WatchList struct {
	Seq   Seq
	Since uint64
	Wait  time.Duration
}

// FetchFile reads one file from the configuration service. Its result is
// reported by OnFile or OnFileError.
type FetchFile struct {
	Name string
}

// Exchange sends Digest to a peer. Its result is reported by OnPeerAnswer or
// OnPeerError.
type Exchange struct {
	Seq    Seq
	Peer   membership.VM
	Digest Digest
}

// PullFiles asks a peer for the contents that are not among Have. Its result is
// reported by OnFiles or OnPullError.
type PullFiles struct {
	Peer membership.VM
	Have []catalog.FileRevision
}

// AdoptCatalog puts a new catalog into force. The decision is for the audit trail.
type AdoptCatalog struct {
	Decision catalog.Decision
}

// IgnoreOffer reports an offer of configuration that was not taken, for the audit
// trail and the counters.
type IgnoreOffer struct {
	Decision catalog.Decision
}

// AdoptList puts a new VM list into force.
type AdoptList struct {
	List *membership.List
	// ConfirmedAt is a time at which the platform had no newer list. It is zero
	// when none is known.
	ConfirmedAt time.Time
}

// ConfirmList says that the platform had no newer list than the one in force at
// the given time, which is never later than the true one.
type ConfirmList struct {
	List *membership.List
	At   time.Time
}

// Ready says that the daemon may serve. It comes once for each NotReady, and
// once at the start.
type Ready struct {
	// Confirmed tells whether peers or, after a pause, the platform were heard.
	// If not, the wait for them ran out.
	Confirmed bool
}

// NotReady says that the daemon must not begin new work until Ready, since it
// was paused and may hold outdated state.
type NotReady struct {
	Gap time.Duration
}

func (WatchConfig) action()  {}
func (WatchList) action()    {}
func (FetchFile) action()    {}
func (Exchange) action()     {}
func (PullFiles) action()    {}
func (AdoptCatalog) action() {}
func (IgnoreOffer) action()  {}
func (AdoptList) action()    {}
func (ConfirmList) action()  {}
func (Ready) action()        {}
func (NotReady) action()     {}

// actions collects what one event leads to.
type actions struct {
	list []Action
}

func (a *actions) add(action Action) { a.list = append(a.list, action) }

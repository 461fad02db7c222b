package dissemination

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// UnknownAge is the age of a list that no read has confirmed.
const UnknownAge = time.Duration(1<<63 - 1)

// Digest summarises a daemon's configuration and VM list.
type Digest struct {
	// ConfigVersion is the accepted folder version, or zero if there is none.
	ConfigVersion uint64
	// ConfigDigest identifies the accepted files.
	ConfigDigest string
	// ListRevision is the VM list's revision, or zero if there is none.
	ListRevision uint64
	// ListAge is the time since the platform confirmed the list, or UnknownAge.
	ListAge time.Duration
}

// Action is an operation for the control goroutine to execute.
type Action interface{ action() }

// Seq identifies an action whose result must be distinguished from that of an
// earlier action. The event that reports the result carries it. Zero is never
// used for an action.
type Seq uint64

// WatchConfig requests a folder version above Since from the configuration
// service and waits up to Wait for one. Its result is reported by OnFolder,
// OnFolderUnchanged or OnWatchError.
type WatchConfig struct {
	Seq   Seq
	Since uint64
	Wait  time.Duration
}

// WatchList requests a VM list with a revision above Since from the platform and
// waits up to Wait for one. Its result is reported by OnList, OnListUnchanged or
// OnWatchError.
type WatchList struct {
	Seq   Seq
	Since uint64
	Wait  time.Duration
}

// FetchFile reads one file from the configuration service. Its result is
// reported by OnFetchedFile or OnFetchError.
type FetchFile struct {
	Name string
}

// Exchange sends Digest to a peer. Its result is reported by OnPeerAnswer or
// OnExchangeError.
type Exchange struct {
	Seq    Seq
	Peer   membership.VM
	Digest Digest
}

// PullFiles requests the file revisions that are not among Have from a peer. Its
// result is reported by OnPulledFiles or OnPullError.
type PullFiles struct {
	Peer membership.VM
	Have []catalog.FileRevision
}

// AdoptCatalog makes a new catalog active. The decision is for the audit trail.
type AdoptCatalog struct {
	Decision catalog.Decision
}

// IgnoreOffer reports a configuration offer that was not accepted, for the audit
// trail.
type IgnoreOffer struct {
	Decision catalog.Decision
}

// AdoptList makes a new VM list active.
type AdoptList struct {
	List *membership.List
	// ConfirmedAt is a time at which the platform had no newer list, or zero if
	// no such time is known.
	ConfirmedAt time.Time
}

// ConfirmList reports that the platform had no newer list than the active one at
// time At. At is a lower bound and never later than the actual time.
type ConfirmList struct {
	List *membership.List
	At   time.Time
}

// Ready reports that the daemon may serve. It is issued once after the start and
// once after each NotReady.
type Ready struct {
	// Confirmed reports whether enough peers or the platform answered. If not, the
	// wait for them timed out.
	Confirmed bool
}

// NotReady reports that the daemon must not begin new work until Ready, since it
// was paused and its state may be outdated.
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

// actions collects the actions that one event results in.
type actions struct {
	list []Action
}

func (a *actions) add(action Action) { a.list = append(a.list, action) }

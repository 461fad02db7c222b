package catalog

import "fmt"

// SourceKind is the kind of a Source.
type SourceKind uint8

// The sources of an offer.
const (
	FromService SourceKind = iota
	FromPeer
)

// Source is the origin of an offer.
type Source struct {
	Kind SourceKind
	// Peer is the VM's id if the kind is FromPeer.
	Peer string
}

// String returns the form that is written to the audit trail.
func (s Source) String() string {
	if s.Kind == FromPeer {
		return "peer " + s.Peer
	}
	return "service"
}

// Offer is one folder version, offered to an Acceptor.
type Offer struct {
	// Version is the folder version.
	Version uint64
	// Index names every file of the version with its newest revision.
	Index []FileRevision
	// Files holds file revisions. Those that the acceptor already has may be
	// omitted.
	//
	// A file whose revision is below the one in Index is an earlier revision that
	// is active at the source because the newest one is invalid on its own. Empty
	// content means that the file was absent as of that revision.
	Files []File
	// Source is for the audit trail.
	Source Source
}

// Outcome is the result of an offer.
type Outcome uint8

// The outcomes.
const (
	// Accepted means that a new catalog is active.
	Accepted Outcome = iota
	// Unchanged means that the offer contained nothing new.
	Unchanged
	// Older means that the offer's version is below the accepted one.
	Older
	// Incomplete means that file revisions are missing; nothing changed.
	Incomplete
	// Refused means that the folder as a whole is invalid.
	Refused
)

var outcomeNames = [...]string{"accepted", "unchanged", "older", "incomplete", "refused"}

// String returns the stable name used in the audit trail and in metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// FileChange is the effect of an accepted offer on one file.
type FileChange struct {
	Name string `json:"name"`
	// From and To are the active revisions before and after the change. Zero
	// means that no revision of the file is active.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Published is the newest revision, or zero if the file was deleted. It
	// exceeds To if the newest revision is invalid on its own.
	Published uint64 `json:"published"`
	// Publisher names who published the newest revision, if known.
	Publisher string `json:"publisher,omitempty"`
}

// NewestRejected reports whether the newest revision was rejected.
func (f FileChange) NewestRejected() bool { return f.Published > f.To }

// Decision is the result of Acceptor.Offer.
type Decision struct {
	Outcome Outcome
	Version uint64
	Source  Source
	// Catalog, Changes and Files are set if the outcome is Accepted.
	Catalog *Catalog
	Changes []Change
	Files   []FileChange
	// Problems lists all problems of the accepted version, or the reason why the
	// folder was refused.
	Problems []Problem
	// NewProblems lists those Problems that the previous accepted decision didn't
	// have, for the audit trail.
	NewProblems []Problem
	// Missing lists the file revisions to fetch if the outcome is Incomplete.
	Missing []FileRevision
}

// Counts holds how many offers had each outcome.
type Counts struct {
	Accepted, Unchanged, Older, Incomplete, Refused uint64
}

func (c *Counts) add(o Outcome) {
	switch o {
	case Accepted:
		c.Accepted++
	case Unchanged:
		c.Unchanged++
	case Older:
		c.Older++
	case Incomplete:
		c.Incomplete++
	case Refused:
		c.Refused++
	}
}

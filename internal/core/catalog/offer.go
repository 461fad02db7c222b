package catalog

import "fmt"

// SourceKind says where an offer came from.
type SourceKind uint8

// The sources of an offer.
const (
	FromService SourceKind = iota
	FromPeer
)

// Source names where an offer came from.
type Source struct {
	Kind SourceKind
	// Peer is the VM's id when the kind is FromPeer.
	Peer string
}

// String returns the form that the audit trail shows.
func (s Source) String() string {
	if s.Kind == FromPeer {
		return "peer " + s.Peer
	}
	return "service"
}

// Offer is one version of the folder.
type Offer struct {
	// Version is the folder revision.
	Version uint64
	// Index names every file of the version with the revision that published it.
	Index []FileRevision
	// Files holds contents. What the acceptor has already may be left out.
	//
	// A file whose revision is below the one in All is an earlier content that
	// the source keeps in force because the newest one is wrong in itself. An
	// empty content means that the name was absent as of that revision.
	Files []File
	// Source is for the audit trail.
	Source Source
}

// Outcome is what an Acceptor did with an offer.
type Outcome uint8

// The outcomes.
const (
	// Accepted means that a new catalog is in force.
	Accepted Outcome = iota
	// Unchanged means that the offer held nothing new.
	Unchanged
	// Older means that the offer's version is below the accepted one.
	Older
	// Incomplete means that contents are missing; nothing changed.
	Incomplete
	// Refused means that the folder as a whole can't be right.
	Refused
)

var outcomeNames = [...]string{"accepted", "unchanged", "older", "incomplete", "refused"}

// String returns the stable name that audit and metrics carry.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// FileChange is what one accepted offer did to one file.
type FileChange struct {
	Name string `json:"name"`
	// From and To are the revisions in force before and after. Zero means that
	// nothing of the file is in force.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Published is the newest revision, and zero when the file was deleted. It
	// exceeds To when the newest content is wrong in itself.
	Published uint64 `json:"published"`
	// Publisher published the newest content, where known.
	Publisher string `json:"publisher,omitempty"`
}

// NewestRejected tells whether the newest content was kept out.
func (f FileChange) NewestRejected() bool { return f.Published > f.To }

// Decision is the answer to an offer.
type Decision struct {
	Outcome Outcome
	Version uint64
	Source  Source
	// Catalog, Changes and Files are set when the outcome is Accepted.
	Catalog *Catalog
	Changes []Change
	Files   []FileChange
	// Problems lists every mistake of the version in force, or why the folder
	// was refused.
	Problems []Problem
	// NewProblems lists those that were not reported with the accepted decision
	// before, for the audit trail.
	NewProblems []Problem
	// Missing lists the contents to fetch when the outcome is Incomplete.
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

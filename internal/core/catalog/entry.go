package catalog

// parsedFile is one revision of a file with the result of parsing it. It is
// immutable.
type parsedFile struct {
	file File
	// fragment is nil when the revision is invalid on its own.
	fragment *fragment
	problems []Problem
}

func newParsedFile(p File) *parsedFile {
	f, problems := parseFile(p.Name, p.Content)
	return &parsedFile{file: p, fragment: f, problems: problems}
}

// priorState is the last known state of a file before its newest revision, which
// is invalid on its own.
//
// States of one file are ordered by asOf: for a valid revision the revision
// number, for an absence the folder version in which it was observed. This is
// the order of the folder's history: a revision published after an observed
// absence has a larger number, and one deleted before it a smaller number.
type priorState struct {
	asOf uint64
	// validThrough is the last folder version through which this is known to be
	// the file's last valid or absent state.
	validThrough uint64
	// parsed is nil if the file was absent.
	parsed *parsedFile
}

// entry is an Acceptor's state for one file of the accepted version.
type entry struct {
	newest *parsedFile
	// prior is set when the newest revision is invalid on its own and an earlier
	// state is known. It is immutable.
	prior *priorState
}

// active returns the revision that the catalog is built from, or nil.
func (e *entry) active() *parsedFile {
	if e.newest.fragment != nil {
		return e.newest
	}
	if e.prior != nil {
		return e.prior.parsed
	}
	return nil
}

// activeRevision returns the number of the active revision, or 0 if there is none.
func (e *entry) activeRevision() uint64 {
	if c := e.active(); c != nil {
		return c.file.Revision
	}
	return 0
}

// confirmed reports whether the active revision is known to be the last valid
// one. It isn't if folder versions before an invalid revision were missed, since
// these may have contained a later valid revision.
func (e *entry) confirmed() bool {
	return e.newest.fragment != nil || e.prior != nil && e.prior.validThrough+1 >= e.newest.file.Revision
}

func (e *entry) unconfirmedProblem() Problem {
	return itemProblem(e.newest.file.Name, "customers",
		"the keys of the earlier content are refused, since one of the versions %d to %d, which no daemon is known to have seen, may have withdrawn them",
		e.prior.validThrough+1, e.newest.file.Revision-1)
}

// asPriorState returns the prior state that e becomes when a newer revision of
// the file arrives. Version is the last folder version in which e was the newest.
func (e *entry) asPriorState(version uint64) *priorState {
	switch {
	case e.newest.fragment != nil:
		return &priorState{asOf: e.newest.file.Revision, validThrough: version, parsed: e.newest}
	case e.prior != nil && e.confirmed():
		return &priorState{asOf: e.prior.asOf, validThrough: version, parsed: e.prior.parsed}
	}
	return e.prior
}

// cappedBefore returns s with validThrough limited to the folder version before
// the given revision. It returns s itself if that changes nothing.
func (s *priorState) cappedBefore(revision uint64) *priorState {
	if s == nil || s.validThrough < revision {
		return s
	}
	return &priorState{asOf: s.asOf, validThrough: revision - 1, parsed: s.parsed}
}

// laterState returns the later of two states in the order of the folder's
// history. Either may be nil.
func laterState(a, b *priorState) *priorState {
	switch {
	case a == nil:
		return b
	case b == nil || a.asOf > b.asOf || a.asOf == b.asOf && a.validThrough >= b.validThrough:
		return a
	}
	return b
}

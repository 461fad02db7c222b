package catalog

// parsedFile is one parsed parsedFile of one file. It is immutable.
type parsedFile struct {
	file File
	// fragment is nil when the content is wrong in itself.
	fragment *fragment
	problems []Problem
}

func newParsedFile(p File) *parsedFile {
	f, problems := parseFile(p.Name, p.Content)
	return &parsedFile{file: p, fragment: f, problems: problems}
}

// priorState is the last known state of a file before its newest content, which
// is wrong in itself.
//
// States of one file are ordered by asOf. A content counts from the revision
// that published it. An absence counts from the folder version that showed it.
// The order is that of the folder's history: a content that was published
// after an absence was seen has the larger number, and one that was deleted
// before has the smaller.
type priorState struct {
	asOf uint64
	// validThrough is the last folder version of which it is known that no right
	// content came after this state.
	validThrough uint64
	// content is nil when the file was absent.
	content *parsedFile
}

// entry is what an Acceptor knows of one file of the accepted version.
type entry struct {
	newest *parsedFile
	// prior is set when the newest content is wrong in itself and an earlier
	// state is known. It is immutable.
	prior *priorState
}

// active returns the content that the catalog is built from, or nil.
func (e *entry) active() *parsedFile {
	if e.newest.fragment != nil {
		return e.newest
	}
	if e.prior != nil {
		return e.prior.content
	}
	return nil
}

func (e *entry) activeRevision() uint64 {
	if c := e.active(); c != nil {
		return c.file.Revision
	}
	return 0
}

// confirmed tells whether the content in force is the last right one. It may not
// be if versions before a wrong content went by unseen: these may have held a
// right one.
func (e *entry) confirmed() bool {
	return e.newest.fragment != nil || e.prior != nil && e.prior.validThrough+1 >= e.newest.file.Revision
}

func (e *entry) unconfirmedProblem() Problem {
	return itemProblem(e.newest.file.Name, "customers",
		"the keys of the earlier content are refused, since one of the versions %d to %d, which no daemon is known to have seen, may have withdrawn them",
		e.prior.validThrough+1, e.newest.file.Revision-1)
}

// asPriorState returns the asPriorState that e stands for once a newer content arrives. The
// version is the last one in which e was the newest.
func (e *entry) asPriorState(version uint64) *priorState {
	switch {
	case e.newest.fragment != nil:
		return &priorState{asOf: e.newest.file.Revision, validThrough: version, content: e.newest}
	case e.prior != nil && e.confirmed():
		return &priorState{asOf: e.prior.asOf, validThrough: version, content: e.prior.content}
	}
	return e.prior
}

// cappedBefore returns s as the state before a content of the given revision: what is
// known of later versions doesn't matter.
func (s *priorState) cappedBefore(revision uint64) *priorState {
	if s == nil || s.validThrough < revision {
		return s
	}
	return &priorState{asOf: s.asOf, validThrough: revision - 1, content: s.content}
}

// laterState returns the state that counts further on in the folder's history.
func laterState(a, b *priorState) *priorState {
	switch {
	case a == nil:
		return b
	case b == nil || a.asOf > b.asOf || a.asOf == b.asOf && a.validThrough >= b.validThrough:
		return a
	}
	return b
}

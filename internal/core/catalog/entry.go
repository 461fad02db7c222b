package catalog

// content is one parsed content of one file. It is immutable.
type content struct {
	published File
	// fragment is nil when the content is wrong in itself.
	fragment *fragment
	problems []Problem
}

func parseContent(p File) *content {
	f, problems := parseFile(p.Name, p.Content)
	return &content{published: p, fragment: f, problems: problems}
}

// earlier is the last known state of a file before its newest content, which
// is wrong in itself.
//
// States of one file are ordered by asOf. A content counts from the revision
// that published it. An absence counts from the folder version that showed it.
// The order is that of the folder's history: a content that was published
// after an absence was seen has the larger number, and one that was deleted
// before has the smaller.
type earlier struct {
	asOf uint64
	// through is the last folder version of which it is known that no right
	// content came after this state.
	through uint64
	// content is nil when the file was absent.
	content *content
}

// entry is what an Acceptor knows of one file of the accepted version.
type entry struct {
	newest *content
	// before is set when the newest content is wrong in itself and an earlier
	// state is known. It is immutable.
	before *earlier
}

// inForce returns the content that the catalog is built from, or nil.
func (e *entry) inForce() *content {
	if e.newest.fragment != nil {
		return e.newest
	}
	if e.before != nil {
		return e.before.content
	}
	return nil
}

func (e *entry) revisionInForce() uint64 {
	if c := e.inForce(); c != nil {
		return c.published.Revision
	}
	return 0
}

// confirmed tells whether the content in force is the last right one. It may not
// be if versions before a wrong content went by unseen: these may have held a
// right one.
func (e *entry) confirmed() bool {
	return e.newest.fragment != nil || e.before != nil && e.before.through+1 >= e.newest.published.Revision
}

func (e *entry) unconfirmedProblem() Problem {
	return heldItem(e.newest.published.Name, "customers",
		"the keys of the earlier content are refused, since one of the versions %d to %d, which no daemon is known to have seen, may have withdrawn them",
		e.before.through+1, e.newest.published.Revision-1)
}

// state returns the state that e stands for once a newer content arrives. The
// version is the last one in which e was the newest.
func (e *entry) state(version uint64) *earlier {
	switch {
	case e.newest.fragment != nil:
		return &earlier{asOf: e.newest.published.Revision, through: version, content: e.newest}
	case e.before != nil && e.confirmed():
		return &earlier{asOf: e.before.asOf, through: version, content: e.before.content}
	}
	return e.before
}

// until returns s as the state before a content of the given revision: what is
// known of later versions doesn't matter.
func (s *earlier) until(revision uint64) *earlier {
	if s == nil || s.through < revision {
		return s
	}
	return &earlier{asOf: s.asOf, through: revision - 1, content: s.content}
}

// later returns the state that counts further on in the folder's history.
func later(a, b *earlier) *earlier {
	switch {
	case a == nil:
		return b
	case b == nil || a.asOf > b.asOf || a.asOf == b.asOf && a.through >= b.through:
		return a
	}
	return b
}

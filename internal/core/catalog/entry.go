package catalog

// content is one parsed content of one file. It is immutable.
type content struct {
	published Published
	// fragment is nil when the content is wrong in itself.
	fragment *fragment
	problems []Problem
}

func parseContent(p Published) *content {
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

// state returns the state that e stands for once a newer content arrives.
func (e *entry) state() *earlier {
	if e.newest.fragment != nil {
		return &earlier{asOf: e.newest.published.Revision, content: e.newest}
	}
	return e.before
}

// later returns the state that counts further on in the folder's history.
func later(a, b *earlier) *earlier {
	switch {
	case a == nil:
		return b
	case b == nil || a.asOf >= b.asOf:
		return a
	}
	return b
}

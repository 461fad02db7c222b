package catalog

import (
	"cmp"
	"maps"
	"slices"

	"ryecourse.example/ryecourse/internal/core/invariant"
)

// Acceptor decides which configuration is in force. It is owned by the control
// goroutine.
//
// The catalog in force is a function of the newest version of the folder, with
// one exception: a file whose newest content is wrong in itself keeps the last
// content that was right. When every file of the newest version is right, the
// catalog depends on that version alone. Otherwise it also depends on the
// earlier states of the wrong files, which daemons tell each other; states of
// one file are ordered, and the later one wins. So daemons that have exchanged
// their files have the same catalog, whatever order they heard in.
//
// Two invariants hold as long as the service's revisions only grow: the
// accepted version never decreases, and the revision in force of a file that
// was not deleted never decreases.
type Acceptor struct {
	version uint64
	entries map[string]*entry
	catalog *Catalog
	// set is kept from one version to the next.
	set   *serviceSet
	files *FileSet
	// problems are the mistakes of the version in force.
	problems map[Problem]bool
	counts   Counts
}

// NewAcceptor returns an Acceptor that has accepted nothing.
func NewAcceptor() *Acceptor {
	return &Acceptor{entries: make(map[string]*entry), files: newFileSet(0, nil)}
}

// Catalog returns the catalog in force, or nil before the first.
func (a *Acceptor) Catalog() *Catalog { return a.catalog }

// Version returns the accepted version of the folder; zero means none.
func (a *Acceptor) Version() uint64 { return a.version }

// Files returns the accepted files. They are immutable and may be read by
// other goroutines.
func (a *Acceptor) Files() *FileSet { return a.files }

// Counts returns how many offers had each outcome.
func (a *Acceptor) Counts() Counts { return a.counts }

// Offer decides on one version of the folder.
func (a *Acceptor) Offer(o Offer) Decision {
	d := a.decide(o)
	d.Version = o.Version
	d.Source = o.Source
	a.counts.add(d.Outcome)
	return d
}

func (a *Acceptor) decide(o Offer) Decision {
	if o.Version < a.version {
		return Decision{Outcome: Older}
	}
	if len(o.Index) == 0 {
		// An operator who means to stop everything deletes the files but one.
		return Decision{Outcome: Refused, Problems: []Problem{{Message: "the folder has no files"}}}
	}
	if o.Version == a.version && !a.listsSame(o.Index) {
		return Decision{Outcome: Refused, Problems: []Problem{{Message: "another list of files under the version in force"}}}
	}
	entries, missing := a.resolve(o)
	if len(missing) > 0 {
		return Decision{Outcome: Incomplete, Missing: missing}
	}
	if o.Version == a.version && sameStates(a.entries, entries) {
		return Decision{Outcome: Unchanged}
	}
	return a.accept(o.Version, entries)
}

func (a *Acceptor) listsSame(all []FileRevision) bool {
	if len(all) != len(a.entries) {
		return false
	}
	for _, id := range all {
		e := a.entries[id.Name]
		if e == nil || e.newest.published.Revision != id.Revision {
			return false
		}
	}
	return true
}

// resolve returns the entries of the offered version, and the contents that
// are needed for it but neither offered nor known.
func (a *Acceptor) resolve(o Offer) (map[string]*entry, []FileRevision) {
	offered := make(map[string][]File)
	for _, p := range o.Files {
		offered[p.Name] = append(offered[p.Name], p)
	}
	entries := make(map[string]*entry, len(o.Index))
	var missing []FileRevision
	for _, id := range o.Index {
		newest := a.newest(id, offered[id.Name])
		if newest == nil {
			missing = append(missing, id)
			continue
		}
		e := &entry{newest: newest}
		if newest.fragment == nil {
			e.before = later(a.stateBefore(id), offeredBefore(id, offered[id.Name])).until(id.Revision)
		}
		entries[id.Name] = e
	}
	return entries, missing
}

// newest returns the content that id names, parsed once.
func (a *Acceptor) newest(id FileRevision, offered []File) *content {
	if e := a.entries[id.Name]; e != nil && e.newest.published.Revision == id.Revision {
		return e.newest
	}
	for _, p := range offered {
		if p.Revision == id.Revision {
			return parseContent(p)
		}
	}
	return nil
}

// stateBefore returns what this Acceptor knows of the file before id.
func (a *Acceptor) stateBefore(id FileRevision) *earlier {
	e := a.entries[id.Name]
	switch {
	case e != nil && e.newest.published.Revision == id.Revision:
		return e.before
	case e != nil:
		return e.state(a.version)
	case a.version > 0:
		return &earlier{asOf: a.version, through: a.version}
	}
	return nil
}

// offeredBefore returns the latest right state among those offered.
func offeredBefore(id FileRevision, offered []File) *earlier {
	var best *earlier
	for _, p := range offered {
		if p.Revision >= id.Revision {
			continue
		}
		best = later(best, offeredState(p))
	}
	return best
}

func offeredState(p File) *earlier {
	through := max(p.ValidThrough, p.Revision)
	if len(p.Content) == 0 {
		return &earlier{asOf: p.Revision, through: through}
	}
	c := parseContent(p)
	if c.fragment == nil {
		return nil
	}
	return &earlier{asOf: p.Revision, through: through, content: c}
}

func sameStates(a, b map[string]*entry) bool {
	for name, e := range a {
		if !e.before.same(b[name].before) {
			return false
		}
	}
	return true
}

func (s *earlier) same(other *earlier) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.asOf == other.asOf && s.through == other.through
}

func (a *Acceptor) accept(version uint64, entries map[string]*entry) Decision {
	d := Decision{Outcome: Accepted, Files: fileChanges(a.entries, entries)}
	invariant.Check(version >= a.version, "catalog_version_decreased")
	for _, f := range d.Files {
		invariant.Check(f.To >= f.From || f.Published == 0 || a.wasDeleted(f, entries), "catalog_file_reverted")
	}
	d.Catalog, d.Problems = a.merge(version, entries)
	d.NewProblems = a.newProblems(d.Problems)
	d.Changes = Diff(a.catalog, d.Catalog)
	a.version = version
	a.entries = entries
	a.catalog = d.Catalog
	a.files = newFileSet(version, entries)
	return d
}

// newProblems returns those of problems that the version before didn't have,
// and remembers all of them.
func (a *Acceptor) newProblems(problems []Problem) []Problem {
	var out []Problem
	now := make(map[Problem]bool, len(problems))
	for _, p := range problems {
		now[p] = true
		if !a.problems[p] {
			out = append(out, p)
		}
	}
	a.problems = now
	return out
}

// wasDeleted tells whether a file went out of force because a peer has seen it
// absent after the revision that was in force here.
func (a *Acceptor) wasDeleted(f FileChange, entries map[string]*entry) bool {
	before := entries[f.Name].before
	return f.To == 0 && before != nil && before.content == nil && before.asOf > f.From
}

func (a *Acceptor) merge(version uint64, entries map[string]*entry) (*Catalog, []Problem) {
	var fragments []*fragment
	var problems []Problem
	unconfirmed := make(map[string]bool)
	for _, name := range sortedKeys(entries) {
		e := entries[name]
		problems = append(problems, e.newest.problems...)
		if c := e.inForce(); c != nil {
			fragments = append(fragments, c.fragment)
			if !e.confirmed() && c.fragment.listsKeys() {
				unconfirmed[name] = true
				problems = append(problems, e.unconfirmedProblem())
			}
		}
	}
	a.set = a.set.refresh(fragments)
	c, ps := mergeFragments(version, fragments, a.set)
	c.markUnconfirmed(fragments, unconfirmed)
	problems = append(problems, ps...)
	sortProblems(problems)
	return c, problems
}

// fileChanges compares two sets of entries, ordered by name.
func fileChanges(before, after map[string]*entry) []FileChange {
	names := make(map[string]bool, len(after))
	for name := range maps.Keys(before) {
		names[name] = true
	}
	for name := range maps.Keys(after) {
		names[name] = true
	}
	var out []FileChange
	for name := range names {
		from, to := before[name], after[name]
		if from != nil && to != nil && from.newest == to.newest && from.revisionInForce() == to.revisionInForce() {
			continue
		}
		out = append(out, fileChange(name, from, to))
	}
	slices.SortFunc(out, func(a, b FileChange) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func fileChange(name string, from, to *entry) FileChange {
	f := FileChange{Name: name}
	if from != nil {
		f.From = from.revisionInForce()
	}
	if to != nil {
		f.To = to.revisionInForce()
		f.Published = to.newest.published.Revision
		f.Publisher = to.newest.published.Publisher
	}
	return f
}

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
	// serviceSet is kept from one version to the next.
	serviceSet *serviceSet
	files      *FileSet
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
	if o.Version == a.version && !a.sameIndex(o.Index) {
		return Decision{Outcome: Refused, Problems: []Problem{{Message: "another list of files under the version in force"}}}
	}
	entries, missing := a.resolve(o)
	if len(missing) > 0 {
		return Decision{Outcome: Incomplete, Missing: missing}
	}
	if o.Version == a.version && samePriorStates(a.entries, entries) {
		return Decision{Outcome: Unchanged}
	}
	return a.accept(o.Version, entries)
}

func (a *Acceptor) sameIndex(all []FileRevision) bool {
	if len(all) != len(a.entries) {
		return false
	}
	for _, id := range all {
		e := a.entries[id.Name]
		if e == nil || e.newest.file.Revision != id.Revision {
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
		newest := a.parsedRevision(id, offered[id.Name])
		if newest == nil {
			missing = append(missing, id)
			continue
		}
		e := &entry{newest: newest}
		if newest.fragment == nil {
			e.prior = laterState(a.knownPriorState(id), offeredPriorState(id, offered[id.Name])).cappedBefore(id.Revision)
		}
		entries[id.Name] = e
	}
	return entries, missing
}

// parsedRevision returns the content that id names, parsed once.
func (a *Acceptor) parsedRevision(id FileRevision, offered []File) *parsedFile {
	if e := a.entries[id.Name]; e != nil && e.newest.file.Revision == id.Revision {
		return e.newest
	}
	for _, p := range offered {
		if p.Revision == id.Revision {
			return newParsedFile(p)
		}
	}
	return nil
}

// knownPriorState returns what this Acceptor knows of the file before id.
func (a *Acceptor) knownPriorState(id FileRevision) *priorState {
	e := a.entries[id.Name]
	switch {
	case e != nil && e.newest.file.Revision == id.Revision:
		return e.prior
	case e != nil:
		return e.asPriorState(a.version)
	case a.version > 0:
		return &priorState{asOf: a.version, validThrough: a.version}
	}
	return nil
}

// offeredPriorState returns the latest right state among those offered.
func offeredPriorState(id FileRevision, offered []File) *priorState {
	var best *priorState
	for _, p := range offered {
		if p.Revision >= id.Revision {
			continue
		}
		best = laterState(best, priorStateFrom(p))
	}
	return best
}

func priorStateFrom(p File) *priorState {
	through := max(p.ValidThrough, p.Revision)
	if len(p.Content) == 0 {
		return &priorState{asOf: p.Revision, validThrough: through}
	}
	c := newParsedFile(p)
	if c.fragment == nil {
		return nil
	}
	return &priorState{asOf: p.Revision, validThrough: through, content: c}
}

func samePriorStates(a, b map[string]*entry) bool {
	for name, e := range a {
		if !e.prior.equal(b[name].prior) {
			return false
		}
	}
	return true
}

func (s *priorState) equal(other *priorState) bool {
	if s == nil || other == nil {
		return s == other
	}
	return s.asOf == other.asOf && s.validThrough == other.validThrough
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
	current := make(map[Problem]bool, len(problems))
	for _, p := range problems {
		current[p] = true
		if !a.problems[p] {
			out = append(out, p)
		}
	}
	a.problems = current
	return out
}

// wasDeleted tells whether a file went out of force because a peer has seen it
// absent after the revision that was in force here.
func (a *Acceptor) wasDeleted(f FileChange, entries map[string]*entry) bool {
	before := entries[f.Name].prior
	return f.To == 0 && before != nil && before.content == nil && before.asOf > f.From
}

func (a *Acceptor) merge(version uint64, entries map[string]*entry) (*Catalog, []Problem) {
	var fragments []*fragment
	var problems []Problem
	unconfirmed := make(map[string]bool)
	for _, name := range sortedKeys(entries) {
		e := entries[name]
		problems = append(problems, e.newest.problems...)
		if c := e.active(); c != nil {
			fragments = append(fragments, c.fragment)
			if !e.confirmed() && c.fragment.listsKeys() {
				unconfirmed[name] = true
				problems = append(problems, e.unconfirmedProblem())
			}
		}
	}
	a.serviceSet = a.serviceSet.refresh(fragments)
	c, ps := mergeFragments(version, fragments, a.serviceSet)
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
		if from != nil && to != nil && from.newest == to.newest && from.activeRevision() == to.activeRevision() {
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
		f.From = from.activeRevision()
	}
	if to != nil {
		f.To = to.activeRevision()
		f.Published = to.newest.file.Revision
		f.Publisher = to.newest.file.Publisher
	}
	return f
}

package catalog

import (
	"cmp"
	"maps"
	"slices"

	"ryecourse.example/ryecourse/internal/core/invariant"
)

// Acceptor decides which configuration is active. It is owned by the control
// goroutine.
//
// The active catalog is a function of the newest folder version, with one
// exception: for a file whose newest revision is invalid on its own, its prior state
// stays active: the last valid revision, or an absence. When every file of the
// newest version is valid, the catalog depends on that version alone. Otherwise it
// also depends on the prior states of the invalid files, which daemons exchange.
// States of one file are totally ordered, and the later one wins, so daemons that
// have exchanged their files have the same catalog regardless of the order of the
// exchanges.
//
// Two invariants hold as long as the revisions of the configuration service only
// grow: the accepted version never decreases, and the active revision of a file that
// was not deleted never decreases. Violations are counted under
// "catalog_version_decreased" and "catalog_file_reverted".
type Acceptor struct {
	version uint64
	entries map[string]*entry
	catalog *Catalog
	// serviceSet is reused as long as the files that define services don't change.
	serviceSet *serviceSet
	files      *FileSet
	// problems are those of the accepted version.
	problems map[Problem]bool
	counts   Counts
}

// NewAcceptor returns an Acceptor that has accepted nothing.
func NewAcceptor() *Acceptor {
	return &Acceptor{entries: make(map[string]*entry), files: newFileSet(0, nil)}
}

// Catalog returns the active catalog, or nil before the first one.
func (a *Acceptor) Catalog() *Catalog { return a.catalog }

// Version returns the accepted folder version, or zero if there is none.
func (a *Acceptor) Version() uint64 { return a.version }

// Files returns the accepted files. They are immutable and may be read by
// other goroutines.
func (a *Acceptor) Files() *FileSet { return a.files }

// Counts returns how many offers had each outcome.
func (a *Acceptor) Counts() Counts { return a.counts }

// Offer decides whether to accept a folder version.
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
		// An empty folder is taken for a fault of the configuration service. An
		// operator who wants an empty configuration publishes one file that
		// contains an empty object.
		return Decision{Outcome: Refused, Problems: []Problem{{Message: "the folder has no files"}}}
	}
	if o.Version == a.version && !a.sameIndex(o.Index) {
		return Decision{Outcome: Refused, Problems: []Problem{{Message: "the file list differs from the one accepted for this version"}}}
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

func (a *Acceptor) sameIndex(index []FileRevision) bool {
	if len(index) != len(a.entries) {
		return false
	}
	for _, id := range index {
		e := a.entries[id.Name]
		if e == nil || e.newest.file.Revision != id.Revision {
			return false
		}
	}
	return true
}

// resolve returns the entries of the offered version, and the file revisions
// that it needs but that are neither offered nor known.
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
		if newest.fragment == nil { // invalid on its own
			e.prior = laterState(a.knownPriorState(id), offeredPriorState(id, offered[id.Name])).cappedBefore(id.Revision)
		}
		entries[id.Name] = e
	}
	return entries, missing
}

// parsedRevision returns the parsed file for id, or nil. The result of an earlier
// parse is reused.
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

// knownPriorState returns the state of the file before id.Revision that this
// Acceptor knows from the accepted version, or nil. A file that the accepted
// version lacks is known to have been absent.
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

// offeredPriorState returns the latest valid or absent state before id.Revision
// among the offered ones, or nil.
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

// priorStateFrom returns the prior state that an offered file describes, or nil if
// its content is invalid. A file without content describes an absence, and so does
// a prior state without a parsed file.
func priorStateFrom(p File) *priorState {
	through := max(p.ValidThrough, p.Revision)
	if len(p.Content) == 0 {
		return &priorState{asOf: p.Revision, validThrough: through}
	}
	c := newParsedFile(p)
	if c.fragment == nil {
		return nil
	}
	return &priorState{asOf: p.Revision, validThrough: through, parsed: c}
}

func samePriorStates(a, b map[string]*entry) bool {
	for name, e := range a {
		if !e.prior.equal(b[name].prior) {
			return false
		}
	}
	return true
}

// equal compares two states of one file. A revision or an observed absence
// determines the content, which is therefore not compared.
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

// newProblems returns the problems that the previously accepted version didn't
// have, and stores all of them for the next call.
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

// wasDeleted reports whether a file has no active revision any more because a
// peer observed its absence after the revision that was active here.
func (a *Acceptor) wasDeleted(f FileChange, entries map[string]*entry) bool {
	prior := entries[f.Name].prior
	return f.To == 0 && prior != nil && prior.parsed == nil && prior.asOf > f.From
}

// merge returns the catalog of the entries with all problems found. A key is
// unconfirmed if the active revision of a file that lists it may not be the last
// valid one: a later revision that no daemon is known to have seen may have
// revoked the key. Files that list no keys need no such mark.
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

// fileChanges returns the files whose newest or active revision differs between
// two sets of entries, ordered by name.
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

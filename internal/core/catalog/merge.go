package catalog

import (
	"cmp"
	"maps"
	"slices"
)

// Build merges files in the order of their names and returns the catalog with
// all problems found, ordered by file.
//
// A file that is invalid on its own contributes nothing. Across files the
// following rules apply. An item that violates one is reported and rejected; the
// other items of its file stay active:
//
//   - One file defines a customer (rate, burst, services). A file that contains
//     only key hashes adds them. A customer without a definition is rejected. A
//     second definition is rejected together with its key hashes.
//   - One file defines a service, completely.
//   - Any file may declare a zone. The last one that sets "out" wins.
//   - Any file may set "draining" of an upstream by its id in "upstreams". The
//     last one wins and overrides the service's own definition.
//   - A key hash belongs to one customer; an upstream's id and address belong
//     to one replica. The first file that lists it wins.
//
// Build is a pure function of the version and of the files' names and contents.
func Build(version uint64, files []File) (*Catalog, []Problem) {
	var problems []Problem
	var fragments []*fragment
	seen := make(map[string]bool)
	for _, p := range sortedFiles(files) {
		if seen[p.Name] {
			problems = append(problems, Problem{File: p.Name, Message: "the folder lists this name twice"})
			continue
		}
		seen[p.Name] = true
		f, ps := parseFile(p.Name, p.Content)
		problems = append(problems, ps...)
		if f != nil {
			fragments = append(fragments, f)
		}
	}
	c, ps := mergeFragments(version, fragments, newServiceSet(withServices(fragments)))
	problems = append(problems, ps...)
	sortProblems(problems)
	return c, problems
}

func sortedFiles(files []File) []File {
	out := slices.Clone(files)
	slices.SortStableFunc(out, func(a, b File) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

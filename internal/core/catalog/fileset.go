package catalog

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FileSet holds the accepted files of one folder version, in the form in which
// daemons exchange them. It is immutable.
type FileSet struct {
	// Version is the folder version.
	Version uint64
	// Digest identifies the newest revisions and the prior states. Daemons with
	// the same version and digest have the same catalog.
	Digest string
	// Index names every file with its newest revision, ordered by name.
	Index []FileRevision
	// Files holds the newest revision of each file and, for files whose newest
	// revision is invalid on its own, the prior state. See Offer.
	Files []File
}

func newFileSet(version uint64, entries map[string]*entry) *FileSet {
	s := &FileSet{Version: version}
	for _, name := range sortedKeys(entries) {
		e := entries[name]
		s.Index = append(s.Index, e.newest.file.ID())
		s.Files = append(s.Files, e.newest.file)
		if e.prior != nil {
			s.Files = append(s.Files, e.prior.asFile(name))
		}
	}
	s.Digest = s.digest()
	return s
}

func (s *priorState) asFile(name string) File {
	if s.parsed != nil {
		p := s.parsed.file
		p.ValidThrough = s.validThrough
		return p
	}
	return File{Name: name, Revision: s.asOf, ValidThrough: s.validThrough}
}

func (s *FileSet) digest() string {
	h := xxhash.New()
	var number [8]byte
	for _, p := range s.Files {
		// Names contain no line feed, so the concatenation is unambiguous.
		_, _ = h.WriteString(p.Name + "\n")
		binary.LittleEndian.PutUint64(number[:], p.Revision)
		_, _ = h.Write(number[:])
		binary.LittleEndian.PutUint64(number[:], p.ValidThrough)
		_, _ = h.Write(number[:])
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Revisions returns the names and revisions of the set's files.
func (s *FileSet) Revisions() []FileRevision {
	out := make([]FileRevision, len(s.Files))
	for i, p := range s.Files {
		out[i] = p.ID()
	}
	return out
}

// MissingFrom returns the files that are not among have. Prior states are always
// included, since have doesn't contain their ValidThrough.
func (s *FileSet) MissingFrom(have []FileRevision) []File {
	known := make(map[FileRevision]bool, len(have))
	for _, id := range have {
		known[id] = true
	}
	var out []File
	for _, p := range s.Files {
		if p.ValidThrough > 0 || !known[p.ID()] {
			out = append(out, p)
		}
	}
	return out
}

package catalog

// MaxFileSize is the largest size of one configuration file, in bytes.
const MaxFileSize = 1 << 20

// File is one revision of a configuration file. The content must not be modified
// after it was passed to this package.
type File struct {
	// Name orders the files and is unique within a folder.
	Name string
	// Revision is the folder version that published this content. For one name it
	// only grows.
	Revision uint64
	// Publisher names who published the content, if known.
	Publisher string
	// ValidThrough is set for an earlier revision that stays active because the
	// newest one is invalid: the folder version through which it is known to be
	// the last valid one.
	ValidThrough uint64
	// Content holds the bytes of the file.
	Content []byte
}

// FileRevision identifies one published revision of a file.
type FileRevision struct {
	Name     string
	Revision uint64
}

// ID returns the name and revision of p.
func (p File) ID() FileRevision {
	return FileRevision{Name: p.Name, Revision: p.Revision}
}

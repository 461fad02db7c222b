package catalog

// MaxFileSize is the largest size of one configuration file, in bytes.
const MaxFileSize = 1 << 20

// File is one configuration file as the configuration service gives it.
// The content must not change after it was handed to this package.
type File struct {
	// Name orders the files and is unique within a folder.
	Name string
	// Revision is the folder revision that published this content. It only
	// grows for one name.
	Revision uint64
	// Publisher names who published the content, where known.
	Publisher string
	// ValidThrough is set for an earlier content that a daemon keeps: the folder version
	// through which it is known to be the last right one.
	ValidThrough uint64
	// Content is the file itself.
	Content []byte
}

// FileRevision names one published content of one file.
type FileRevision struct {
	Name     string
	Revision uint64
}

// ID returns the name and revision of p.
func (p File) ID() FileRevision {
	return FileRevision{Name: p.Name, Revision: p.Revision}
}

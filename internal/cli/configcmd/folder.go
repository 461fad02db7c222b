package configcmd

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"ryecourse.example/ryecourse/internal/core/catalog"
)

// FolderError reports a folder that can't be read.
type FolderError struct {
	Dir string
	Err error
}

func (e *FolderError) Error() string { return fmt.Sprintf("can't read %s: %v", e.Dir, e.Err) }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }

// ReadFolder reads the configuration files of dir: those whose names end in
// ".json" and don't start with a dot. Subfolders are not read. At most
// catalog.MaxFileSize+1 bytes of each file are read, which suffices to detect a
// file that is too large. The error is a *FolderError.
func ReadFolder(dir string) ([]catalog.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &FolderError{Dir: dir, Err: err}
	}
	var files []catalog.File
	for _, entry := range entries {
		if !isConfigFile(entry) {
			continue
		}
		content, err := readLimited(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, &FolderError{Dir: dir, Err: err}
		}
		files = append(files, catalog.File{Name: entry.Name(), Content: content})
	}
	return files, nil
}

func isConfigFile(entry fs.DirEntry) bool {
	name := entry.Name()
	return !entry.IsDir() && strings.HasSuffix(name, ".json") && !strings.HasPrefix(name, ".")
}

func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, catalog.MaxFileSize+1))
}

// Package platform implements a stand-in platform for tests and demonstrations:
// a configuration service over a folder of files, and a VM list, with the
// protocol of docs/PLATFORM.md. On request its replicas lag, serve an old state,
// return errors or hang. The standin command uses it; it is not part of the
// product.
package platform

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// MaxFileSize is the largest file that the service publishes, in bytes.
const MaxFileSize = 1 << 20

// historyLength is the number of past states that a stale replica can serve.
const historyLength = 256

// File is one published file. Content is immutable.
type File struct {
	Name      string
	Revision  uint64
	Publisher string
	Content   []byte
}

// VM is one entry of the VM list.
type VM struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"`
}

// folder is one revision of the folder. It is immutable.
type folder struct {
	revision    uint64
	publishedAt time.Time
	files       []File
}

// vmList is one revision of the VM list. It is immutable.
type vmList struct {
	revision    uint64
	publishedAt time.Time
	vms         []VM
}

// Store holds every published state of the folder and of the VM list. Its
// methods are safe for concurrent use.
type Store struct {
	dir     string
	vmsFile string

	mu             sync.Mutex
	folders        []folder
	lists          []vmList
	lastVMsContent string
}

// NewStore reads the folder and the VM file once. Revisions count up from first,
// so that with a higher first they don't decrease over a restart.
func NewStore(dir, vmsFile string, first uint64, now time.Time) (*Store, error) {
	s := &Store{dir: dir, vmsFile: vmsFile}
	s.folders = []folder{{revision: first, publishedAt: now}}
	s.lists = []vmList{{revision: first, publishedAt: now}}
	if err := s.Poll(now); err != nil {
		return nil, err
	}
	s.folders = s.folders[len(s.folders)-1:]
	s.lists = s.lists[len(s.lists)-1:]
	return s, nil
}

// Poll publishes a new revision of the folder or of the VM list if it has changed
// on disk. If reading fails, the earlier state stays published.
func (s *Store) Poll(now time.Time) error {
	if err := s.pollFolder(now); err != nil {
		return err
	}
	return s.pollVMs(now)
}

func (s *Store) pollFolder(now time.Time) error {
	found, err := readFolder(s.dir)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.folders[len(s.folders)-1]
	files, changed := assignRevisions(last, found)
	if !changed {
		return nil
	}
	next := folder{revision: last.revision + 1, publishedAt: now, files: files}
	s.folders = trimHistory(append(s.folders, next))
	return nil
}

// assignRevisions gives each unchanged file the revision that it had, and the
// others the next one. It reports whether the folder has changed.
func assignRevisions(last folder, found []File) ([]File, bool) {
	old := make(map[string]File, len(last.files))
	for _, f := range last.files {
		old[f.Name] = f
	}
	changed := len(found) != len(last.files)
	for i := range found {
		prev, ok := old[found[i].Name]
		if ok && string(prev.Content) == string(found[i].Content) {
			found[i] = prev
			continue
		}
		found[i].Revision = last.revision + 1
		changed = true
	}
	return found, changed
}

// readFolder reads the files NAME.json of up to MaxFileSize and sorts them by
// name.
func readFolder(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &ReadError{Path: dir, Err: err}
	}
	var files []File
	for _, e := range entries {
		if !isPublished(e) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, &ReadError{Path: e.Name(), Err: err}
		}
		if len(content) > MaxFileSize {
			continue
		}
		files = append(files, File{Name: e.Name(), Content: content, Publisher: fileOwner(e)})
	}
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	return files, nil
}

func isPublished(e os.DirEntry) bool {
	name := e.Name()
	return !e.IsDir() && strings.HasSuffix(name, ".json") && !strings.HasPrefix(name, ".")
}

func (s *Store) pollVMs(now time.Time) error {
	content, err := os.ReadFile(s.vmsFile)
	if err != nil {
		return &ReadError{Path: s.vmsFile, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(content) == s.lastVMsContent {
		return nil
	}
	var doc struct {
		VMs []VM `json:"vms"`
	}
	if err := json.Unmarshal(content, &doc); err != nil {
		return &ReadError{Path: s.vmsFile, Err: err}
	}
	s.lastVMsContent = string(content)
	last := s.lists[len(s.lists)-1]
	s.lists = trimHistory(append(s.lists, vmList{revision: last.revision + 1, publishedAt: now, vms: doc.VMs}))
	return nil
}

// trimHistory drops the oldest states beyond historyLength.
func trimHistory[T any](states []T) []T {
	if len(states) <= historyLength {
		return states
	}
	return append([]T(nil), states[len(states)-historyLength:]...)
}

// ReadError reports a folder or file that the stand-in can't publish.
type ReadError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return "publish " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

package soak

import (
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// staleLag is the number of versions by which a stale replica of the platform lags.
const staleLag = 3

// folder is one version of the configuration folder.
type folder struct {
	version uint64
	at      time.Time
	files   map[string]catalog.File
}

// platform is a fake of the configuration service and the VM list. It keeps every
// version so that it can act as a stale replica.
type platform struct {
	world   *world
	folders []folder
	lists   []membership.List
	down    bool
	stale   bool
}

// publish creates a new folder version with the given files changed. Empty content
// deletes a file.
func (p *platform) publish(files map[string]string) {
	version := uint64(len(p.folders) + 1)
	next := folder{version: version, at: p.world.clock.Now(), files: make(map[string]catalog.File)}
	if len(p.folders) > 0 {
		for name, f := range p.folders[len(p.folders)-1].files {
			next.files[name] = f
		}
	}
	for name, content := range files {
		if content == "" {
			delete(next.files, name)
			continue
		}
		next.files[name] = catalog.File{Name: name, Revision: version, Content: []byte(content)}
	}
	p.folders = append(p.folders, next)
}

func (p *platform) publishList(vms []membership.VM) {
	list := membership.List{Revision: uint64(len(p.lists) + 1), VMs: slices.Clone(vms)}
	slices.SortFunc(list.VMs, func(a, b membership.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	p.lists = append(p.lists, list)
}

// visibleIndex returns the index of the version that readers see, of n versions.
func (p *platform) visibleIndex(n int) int {
	if p.stale {
		return max(n-1-staleLag, 0)
	}
	return n - 1
}

func (p *platform) folder() *folder        { return &p.folders[p.visibleIndex(len(p.folders))] }
func (p *platform) list() *membership.List { return &p.lists[p.visibleIndex(len(p.lists))] }
func (f *folder) index() []catalog.FileRevision {
	var out []catalog.FileRevision
	for _, file := range f.files {
		out = append(out, catalog.FileRevision{Name: file.Name, Revision: file.Revision})
	}
	slices.SortFunc(out, func(a, b catalog.FileRevision) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// pollInterval is the interval at which a waiting watch checks for changes.
const pollInterval = 50 * time.Millisecond

// watch calls done(true) once newer reports a change, or done(false) after wait.
func (p *platform) watch(wait time.Duration, newer func() bool, done func(bool)) {
	if newer() || wait <= 0 {
		done(newer())
		return
	}
	p.world.clock.After(min(pollInterval, wait), func() { p.watch(wait-pollInterval, newer, done) })
}

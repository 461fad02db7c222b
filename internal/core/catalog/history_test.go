package catalog

import (
	"fmt"
	"maps"
	"slices"
)

// folderVersion is one version of the folder in the service's history.
type folderVersion struct {
	version uint64
	files   map[string]File
}

// history stands in for the configuration service. It holds every version that
// was ever published.
type history struct {
	versions []folderVersion
}

func newHistory() *history {
	return &history{versions: []folderVersion{{}}}
}

func (h *history) newest() folderVersion { return h.versions[len(h.versions)-1] }

// publish writes one file; a nil content deletes it.
func (h *history) publish(name string, content []byte) {
	last := h.newest()
	next := folderVersion{version: last.version + 1, files: maps.Clone(last.files)}
	if next.files == nil {
		next.files = make(map[string]File)
	}
	if content == nil {
		delete(next.files, name)
	} else {
		next.files[name] = File{Name: name, Revision: next.version, Content: content}
	}
	h.versions = append(h.versions, next)
}

func (v folderVersion) offer() Offer {
	o := Offer{Version: v.version}
	for _, name := range slices.Sorted(maps.Keys(v.files)) {
		o.Index = append(o.Index, v.files[name].ID())
		o.Files = append(o.Files, v.files[name])
	}
	return o
}

// model is the oracle for one daemon: the set of versions that it knows, from the
// service or from peers.
type model struct {
	known map[uint64]bool
}

func newModel() *model { return &model{known: make(map[uint64]bool)} }

func (m *model) version() uint64 {
	var v uint64
	for known := range m.known {
		v = max(v, known)
	}
	return v
}

// activeFiles returns the active files: those of the newest known version. An
// invalid one is replaced by its state in the newest known version in which the
// file was valid or absent.
func (m *model) activeFiles(h *history) []File {
	known := slices.Sorted(maps.Keys(m.known))
	if len(known) == 0 {
		return nil
	}
	var out []File
	for _, name := range slices.Sorted(maps.Keys(h.versions[m.version()].files)) {
		for _, v := range slices.Backward(known) {
			p, present := h.versions[v].files[name]
			if !present {
				break
			}
			if _, problems := parseFile(name, p.Content); len(problems) == 0 {
				out = append(out, p)
				break
			}
		}
	}
	return out
}

// daemon is an Acceptor with its oracle.
type daemon struct {
	acceptor *Acceptor
	model    *model
}

func newDaemon() *daemon { return &daemon{acceptor: NewAcceptor(), model: newModel()} }

// policy selects the mechanisms that a test disables.
type policy struct {
	// resetState discards all state before each offer.
	resetState bool
	// dropPrior removes prior states from offers.
	dropPrior bool
	// dropAbsences removes absences from offers.
	dropAbsences bool
}

func (p policy) receive(d *daemon, o Offer) {
	if p.resetState {
		d.acceptor = NewAcceptor()
	}
	o.Files = slices.DeleteFunc(slices.Clone(o.Files), func(f File) bool {
		if p.dropAbsences && len(f.Content) == 0 {
			return true
		}
		return p.dropPrior && !slices.Contains(o.Index, f.ID())
	})
	d.acceptor.Offer(o)
}

func (p policy) read(d *daemon, v folderVersion) {
	p.receive(d, v.offer())
	if len(v.files) > 0 && v.version >= d.model.version() {
		d.model.known[v.version] = true
	}
}

func (p policy) pull(d, from *daemon) {
	set := from.acceptor.Files()
	p.receive(d, Offer{Version: set.Version, Index: set.Index, Files: set.MissingFrom(d.acceptor.Files().Revisions()), Source: Source{Kind: FromPeer}})
	if from.model.version() >= d.model.version() {
		maps.Copy(d.model.known, from.model.known)
	}
}

// check compares the daemon with its oracle.
func (d *daemon) check(h *history) error {
	if d.acceptor.Version() != d.model.version() {
		return fmt.Errorf("version %d is active, want %d", d.acceptor.Version(), d.model.version())
	}
	if d.acceptor.Catalog() == nil {
		return nil
	}
	want, _ := Build(d.model.version(), d.model.activeFiles(h))
	if got := d.acceptor.Catalog(); got.Digest != want.Digest {
		return fmt.Errorf("version %d has another content than expected: %v", got.Version, Diff(want, got))
	}
	return d.checkKeys(h)
}

// checkKeys compares the keys of invalid files with the whole history: a key that
// was revoked in a version that the daemon missed must be unconfirmed, and a key
// that can't have been revoked must not be.
func (d *daemon) checkKeys(h *history) error {
	cat := d.acceptor.Catalog()
	possiblyWithdrawn := map[string]bool{}
	for _, p := range d.model.activeFiles(h) {
		newest := h.versions[d.model.version()].files[p.Name]
		if newest.Revision == p.Revision {
			continue
		}
		last := h.lastValidKeys(newest)
		for hash := range keysOf(p) {
			if !last[hash] && !cat.KeyUnconfirmed(hash) {
				return fmt.Errorf("key %s of %s is active and confirmed though it was revoked", hash[:hashPrefixLen], p.Name)
			}
			before := newest.Revision - 1
			if content, ok := h.versions[before].files[p.Name]; !d.model.known[before] || ok && isInvalid(content) {
				possiblyWithdrawn[hash] = true
			}
		}
	}
	for hash := range cat.unconfirmed {
		if !possiblyWithdrawn[hash] {
			return fmt.Errorf("key %s is unconfirmed though the last valid revision of its file is known", hash[:hashPrefixLen])
		}
	}
	return nil
}

// lastValidKeys returns the keys of the last valid or absent state of a file before
// its invalid revision.
func (h *history) lastValidKeys(invalid File) map[string]bool {
	for v := invalid.Revision - 1; v > 0; v-- {
		if p, present := h.versions[v].files[invalid.Name]; !present || !isInvalid(p) {
			return keysOf(p)
		}
	}
	return nil
}

func isInvalid(p File) bool {
	_, problems := parseFile(p.Name, p.Content)
	return len(problems) > 0
}

func keysOf(p File) map[string]bool {
	keys := map[string]bool{}
	if f, _ := parseFile(p.Name, p.Content); f != nil {
		for _, c := range f.customers {
			for _, hash := range c.KeyHashes {
				keys[hash] = true
			}
		}
	}
	return keys
}

// runRandomHistory runs one random history over three daemons and returns the
// first difference from the oracle. Choose returns a number below n, draw a
// file's content.
func runRandomHistory(p policy, steps int, choose func(n int) int, draw func() []byte) error {
	h := newHistory()
	daemons := []*daemon{newDaemon(), newDaemon(), newDaemon()}
	for range steps {
		d := daemons[choose(len(daemons))]
		switch choose(8) {
		case 0, 1, 2:
			h.publish(fmt.Sprintf("%02d.json", choose(4)), draw())
		case 3, 4:
			p.read(d, h.newest())
		case 5:
			// The daemon reads from a lagging replica of the service.
			p.read(d, h.versions[choose(len(h.versions))])
		case 6:
			p.pull(d, daemons[choose(len(daemons))])
		case 7:
			if choose(4) == 0 {
				*d = *newDaemon()
			}
		}
		if err := d.check(h); err != nil {
			return err
		}
	}
	return converge(p, h, daemons)
}

// converge adds a new daemon, lets every daemon exchange with every other, and
// requires that all have the same catalog.
func converge(p policy, h *history, daemons []*daemon) error {
	daemons = append(daemons, newDaemon())
	p.read(daemons[len(daemons)-1], h.newest())
	for range 2 {
		for _, d := range daemons {
			for _, from := range daemons {
				p.pull(d, from)
			}
		}
	}
	for _, d := range daemons {
		if err := d.check(h); err != nil {
			return err
		}
		if d.acceptor.Files().Digest != daemons[0].acceptor.Files().Digest {
			return fmt.Errorf("daemons hold different files after an exchange")
		}
	}
	return nil
}

package dissemination

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// folderVersion is one folder version.
type folderVersion struct {
	at    time.Time
	files map[string]catalog.File
}

// platform stands in for the configuration service and the VM list. Its replicas
// lag by fixed times.
type platform struct {
	clock    *clock
	rng      *rand.Rand
	versions []folderVersion
	list     *membership.List
	// listTimes holds when each revision of the list was published.
	listTimes []time.Time
	lags      []time.Duration
	down      bool
	// frozen, if not zero, is the newest version that the replicas return.
	frozen uint64
	// waiting holds the checks of the watches that wait for a change.
	waiting []func()
	reads   int
	// perSecond counts the reads of each second.
	perSecond map[int64]int
}

func newPlatform(c *clock, rng *rand.Rand) *platform {
	return &platform{
		clock: c, rng: rng, lags: []time.Duration{0},
		versions:  []folderVersion{{files: map[string]catalog.File{}}},
		perSecond: make(map[int64]int),
	}
}

func (p *platform) version() uint64 { return uint64(len(p.versions) - 1) }

// publish writes one file and returns the new version.
func (p *platform) publish(name, content string) uint64 {
	files := maps.Clone(p.versions[len(p.versions)-1].files)
	version := p.version() + 1
	files[name] = catalog.File{Name: name, Revision: version, Content: []byte(content)}
	p.versions = append(p.versions, folderVersion{at: p.clock.now, files: files})
	p.wakeWatches()
	return version
}

func (p *platform) setList(vms []membership.VM) {
	revision := uint64(1)
	if p.list != nil {
		revision = p.list.Revision + 1
	}
	p.listTimes = append(p.listTimes, p.clock.now)
	p.list = &membership.List{Revision: revision, VMs: slices.Clone(vms)}
	p.wakeWatches()
}

// listAt returns the list's revision at the given time.
func (p *platform) listAt(at time.Time) uint64 {
	n := 0
	for n < len(p.listTimes) && !p.listTimes[n].After(at) {
		n++
	}
	return uint64(n)
}

// wakeWatches lets every waiting watch check for a change as soon as its replica may
// have it.
func (p *platform) wakeWatches() {
	waiting := p.waiting
	p.waiting = nil
	for _, check := range waiting {
		p.clock.after(0, check)
	}
}

func (p *platform) countRead() {
	p.reads++
	p.perSecond[p.clock.now.Unix()]++
}

// peakReadsPerSecond returns the maximum number of reads in any second.
func (p *platform) peakReadsPerSecond() int {
	most := 0
	for _, n := range p.perSecond {
		most = max(most, n)
	}
	return most
}

// visibleVersion returns the version that a replica with the given lag returns.
func (p *platform) visibleVersion(lag time.Duration) uint64 {
	for v := len(p.versions) - 1; v > 0; v-- {
		if p.frozen > 0 && uint64(v) > p.frozen {
			continue
		}
		if !p.versions[v].at.Add(lag).After(p.clock.now) {
			return uint64(v)
		}
	}
	return 0
}

func (p *platform) pickLag() time.Duration { return p.lags[p.rng.IntN(len(p.lags))] }

// watchFolder answers a watch with a version above since, or with changed = false
// when the wait ends.
func (p *platform) watchFolder(since uint64, wait time.Duration, answer func(version uint64, index []catalog.FileRevision, changed bool)) {
	p.countRead()
	lag := p.pickLag()
	end := p.clock.now.Add(wait)
	var check func()
	check = func() {
		v := p.visibleVersion(lag)
		switch {
		case v > since:
			var index []catalog.FileRevision
			for _, name := range slices.Sorted(maps.Keys(p.versions[v].files)) {
				index = append(index, p.versions[v].files[name].ID())
			}
			answer(v, index, true)
		case !p.clock.now.Before(end):
			answer(0, nil, false)
		default:
			p.waiting = append(p.waiting, func() { p.clock.after(lag, check) })
			p.clock.after(end.Sub(p.clock.now), check)
		}
	}
	answered := false
	reply := answer
	answer = func(version uint64, index []catalog.FileRevision, changed bool) {
		if !answered {
			answered = true
			reply(version, index, changed)
		}
	}
	check()
}

func (p *platform) watchList(since uint64, wait time.Duration, answer func(list *membership.List)) {
	p.countRead()
	if p.list.Revision > since {
		answer(p.list)
		return
	}
	end := p.clock.now.Add(wait)
	answered := false
	check := func() {
		if answered || p.list.Revision <= since && p.clock.now.Before(end) {
			return
		}
		answered = true
		if p.list.Revision <= since {
			answer(nil)
			return
		}
		answer(p.list)
	}
	p.waiting = append(p.waiting, check)
	p.clock.after(wait, check)
}

func (p *platform) file(name string) (catalog.File, bool) {
	p.countRead()
	f, ok := p.versions[p.visibleVersion(p.pickLag())].files[name]
	return f, ok
}

func customerFile(name string, rate int) string {
	return fmt.Sprintf(`{"customers":{"%s":{"rate":%d,"burst":1}}}`, name, rate)
}

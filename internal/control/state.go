package control

import (
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// maxViewAge is how long traffic may use a view after the control goroutine last
// confirmed it. While the daemon serves, that happens on every tick. A traffic
// goroutine that runs before the control goroutine after a pause finds the view
// stale. After a pause of 2 s or more (see package dissemination) the view stays
// stale until the control goroutine has checked for updates; after a shorter one,
// until the next tick.
const maxViewAge = time.Second

// View is the part of the control state that traffic goroutines read. It is
// immutable.
type View struct {
	Catalog *catalog.Catalog
	List    membership.List
}

// State is the published part of the control state. Traffic goroutines read it
// without locks; only the control goroutine writes it.
type State struct {
	view            atomic.Pointer[View]
	confirmedAt     atomic.Pointer[time.Time]
	startupComplete atomic.Bool
}

// View returns the latest view, or nil before the first one. It may be stale.
func (s *State) View() *View { return s.view.Load() }

// Catalog returns the active catalog, or nil if there is none or the view is
// stale.
func (s *State) Catalog(now time.Time) *catalog.Catalog {
	v := s.view.Load()
	if v == nil || !s.Fresh(now) {
		return nil
	}
	return v.Catalog
}

// Fresh reports whether the control goroutine has confirmed the view within
// maxViewAge, by both the monotonic and the wall clock.
func (s *State) Fresh(now time.Time) bool {
	at := s.confirmedAt.Load()
	return at != nil && membership.Elapsed(*at, now) <= maxViewAge
}

// StartupComplete reports whether the daemon has had its shares of upstreams and
// of limits at some time since it started, or has waited long enough for them.
func (s *State) StartupComplete() bool { return s.startupComplete.Load() }

// markStale makes the view stale until the next confirm.
func (s *State) markStale() { s.confirmedAt.Store(nil) }

func (s *State) confirm(now time.Time) { s.confirmedAt.Store(&now) }

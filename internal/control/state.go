package control

import (
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

// maxViewAge is how long traffic may act on a view that the control goroutine
// has not confirmed. The goroutine confirms it on every tick. Traffic that wakes
// first after a pause finds the view too old. After a pause of 2 s or more (see
// package spread) it stays so until the control goroutine has looked for news;
// after a shorter one, until the next tick.
const maxViewAge = time.Second

// View is what traffic goroutines read of the control state. It is immutable.
type View struct {
	Catalog *catalog.Catalog
	List    membership.List
}

// State is the published side of the control state. Traffic goroutines read it
// without locks; only the control goroutine writes it.
type State struct {
	view            atomic.Pointer[View]
	confirmedAt     atomic.Pointer[time.Time]
	startupComplete atomic.Bool
}

// View returns the newest view, or nil before the first one.
func (s *State) View() *View { return s.view.Load() }

// Catalog returns the catalog in force, or nil when there is none or when the
// view is too old to act on.
func (s *State) Catalog(now time.Time) *catalog.Catalog {
	v := s.view.Load()
	if v == nil || !s.Fresh(now) {
		return nil
	}
	return v.Catalog
}

// Fresh tells whether the control goroutine has confirmed the view lately, by
// both the monotonic and the wall clock.
func (s *State) Fresh(now time.Time) bool {
	at := s.confirmedAt.Load()
	return at != nil && membership.Elapsed(*at, now) <= maxViewAge
}

// StartupComplete tells whether the daemon has had its shares of upstreams and of limits
// since it started.
func (s *State) StartupComplete() bool { return s.startupComplete.Load() }

// markStale makes the view too old to act on until the next confirm.
func (s *State) markStale() { s.confirmedAt.Store(nil) }

func (s *State) confirm(now time.Time) { s.confirmedAt.Store(&now) }

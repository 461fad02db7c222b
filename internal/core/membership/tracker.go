package membership

import "time"

// Tracker holds the newest known list and the time of its last confirmation. It
// must be used from the control goroutine only.
type Tracker struct {
	list        *List
	confirmedAt time.Time
}

// OnList applies a list received from the platform or a peer. confirmedAt is
// the time before the request was sent, minus the age that a peer reports. A
// list older than the known one is ignored, and OnList returns false. A list of
// the same revision only updates the confirmation time.
func (t *Tracker) OnList(list *List, confirmedAt time.Time) bool {
	if list == nil {
		return false
	}
	if t.list != nil && list.Revision < t.list.Revision {
		return false
	}
	newer := t.list == nil || list.Revision > t.list.Revision
	if newer {
		t.list = list
		t.confirmedAt = confirmedAt
		return true
	}
	if confirmedAt.After(t.confirmedAt) {
		t.confirmedAt = confirmedAt
	}
	return true
}

// List returns the newest list, or nil if there is none yet.
func (t *Tracker) List() *List {
	return t.list
}

// Age returns the time since the last confirmation, as measured by Elapsed.
func (t *Tracker) Age(now time.Time) time.Duration {
	return Elapsed(t.confirmedAt, now)
}

// Fresh reports whether the list was confirmed within the given time.
func (t *Tracker) Fresh(now time.Time, within time.Duration) bool {
	return t.list != nil && t.Age(now) <= within
}

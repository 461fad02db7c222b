package membership

import "time"

// Tracker keeps the newest list that the daemon knows and when it was last
// confirmed. It belongs to the control goroutine.
type Tracker struct {
	list        *List
	confirmedAt time.Time
}

// OnList takes a list that the platform or a peer has given. confirmedAt is the
// time before the read was sent, less the age that a peer reports. A list older
// than the known one is ignored, and OnList returns false. The same revision
// only moves the confirmation forward.
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

// List returns the newest list, or nil before the first.
func (t *Tracker) List() *List {
	return t.list
}

// Age returns the time since the list was last confirmed, over both clocks.
func (t *Tracker) Age(now time.Time) time.Duration {
	return Elapsed(t.confirmedAt, now)
}

// Fresh reports whether the list was confirmed within the given time.
func (t *Tracker) Fresh(now time.Time, within time.Duration) bool {
	return t.list != nil && t.Age(now) <= within
}

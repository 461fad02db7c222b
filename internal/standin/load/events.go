package load

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"time"
)

// EventKind is the action that the script driving a run takes right after it
// has written the event.
type EventKind string

// The kinds of events, with their argument in brackets.
const (
	// EventKill kills a daemon (its address).
	EventKill EventKind = "kill"
	// EventPause and EventResume pause and resume a daemon (its address). Unlike
	// the others, EventResume is written after the action.
	EventPause  EventKind = "pause"
	EventResume EventKind = "resume"
	// EventZoneOut and EventZoneIn take a zone out of service and back (its name).
	EventZoneOut EventKind = "zone-out"
	EventZoneIn  EventKind = "zone-in"
	// EventRevokeKey revokes a customer's key (its name).
	EventRevokeKey EventKind = "withdraw"
)

// Event is one line of the events file: Unix milliseconds, kind, argument.
type Event struct {
	At       time.Time
	Kind     EventKind
	Argument string
}

// ReadEvents reads an events file. A missing file has no events.
func ReadEvents(file string) ([]Event, error) {
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, &ConfigError{File: file, Err: err}
	}
	defer func() { _ = f.Close() }()
	var out []Event
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		ms, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			return nil, &ConfigError{File: file, Err: err}
		}
		e := Event{At: time.UnixMilli(ms), Kind: EventKind(fields[1])}
		if len(fields) > 2 {
			e.Argument = fields[2]
		}
		out = append(out, e)
	}
	return out, lines.Err()
}

// history derives the state of daemons, keys and zones from a run's events.
type history struct {
	events []Event
	grace  time.Duration
}

// killed reports whether a daemon was killed at or before t.
func (h *history) killed(daemon string, t time.Time) bool {
	for _, e := range h.events {
		if e.Kind == EventKill && e.Argument == daemon && !e.At.After(t) {
			return true
		}
	}
	return false
}

// paused reports whether a daemon was paused at any moment between from and to.
func (h *history) paused(daemon string, from, to time.Time) bool {
	paused := false
	for _, e := range h.events {
		if e.Argument != daemon || e.At.After(to) {
			continue
		}
		switch e.Kind {
		case EventPause:
			paused = true
		case EventResume:
			paused = paused && e.At.After(from)
		}
	}
	return paused
}

// unavailable reports whether the request's daemon was killed before the request
// ended, or paused during it.
func (h *history) unavailable(req *Request) bool {
	return h.killed(req.Daemon, req.End) || h.paused(req.Daemon, req.Start, req.End)
}

// keyRevoked reports whether a customer's key must be rejected at t, and whether
// it may be: between the event and the end of the grace period both are correct.
func (h *history) keyRevoked(customer string, t time.Time) (mustFail, mayFail bool) {
	for _, e := range h.events {
		if e.Kind != EventRevokeKey || e.Argument != customer {
			continue
		}
		mustFail = mustFail || t.After(e.At.Add(h.grace))
		mayFail = mayFail || !t.Before(e.At)
	}
	return mustFail, mayFail
}

// zoneOutOfService reports whether a zone must receive no new attempt at t.
func (h *history) zoneOutOfService(zone string, t time.Time) bool {
	out := false
	for _, e := range h.events {
		if e.Argument != zone {
			continue
		}
		switch e.Kind {
		case EventZoneOut:
			out = out || t.After(e.At.Add(h.grace))
		case EventZoneIn:
			out = out && t.Before(e.At)
		}
	}
	return out
}

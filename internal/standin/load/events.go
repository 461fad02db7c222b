package load

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"time"
)

// EventKind is what the driver of a run does right after it has written the
// event.
type EventKind string

// The kinds of events. The argument is given in brackets.
const (
	// EventKill ends a daemon without warning (its address).
	EventKill EventKind = "kill"
	// EventPause and EventResume stop and continue a daemon (its address).
	// EventResume is written right after it.
	EventPause  EventKind = "pause"
	EventResume EventKind = "resume"
	// EventZoneOut and EventZoneIn change the state of a zone (its name).
	EventZoneOut EventKind = "zone-out"
	EventZoneIn  EventKind = "zone-in"
	// EventRevokeKey takes away a customer's key (its name).
	EventRevokeKey EventKind = "withdraw"
)

// Event is one line of the events file: Unix milliseconds, kind, argument.
type Event struct {
	At       time.Time
	Kind     EventKind
	Argument string
}

// ReadEvents reads an events file. A file that doesn't exist has no events.
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

// history answers questions about the events of a run.
type history struct {
	events []Event
	grace  time.Duration
}

// killed tells whether a daemon was killed by the time.
func (h *history) killed(daemon string, t time.Time) bool {
	for _, e := range h.events {
		if e.Kind == EventKill && e.Argument == daemon && !e.At.After(t) {
			return true
		}
	}
	return false
}

// paused tells whether a daemon was paused at some moment of a span of time.
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

// unavailable tells whether a daemon could not answer a try.
func (h *history) unavailable(req *Request) bool {
	return h.killed(req.Daemon, req.End) || h.paused(req.Daemon, req.Start, req.End)
}

// keyRevoked tells whether a customer's key must have stopped working by the
// time, and whether it may have.
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

// zoneOutOfService tells whether a zone must get nothing new at the time.
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

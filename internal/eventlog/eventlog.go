// Package eventlog writes structured events as JSON lines. The number of lines
// of one class in a second is bounded, what is left out is counted, and writing
// never blocks the caller.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// linesPerSecond bounds the lines of one class of events.
	linesPerSecond = 40
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 4096
	// maxClasses bounds the classes that are counted; the rest share one.
	maxClasses = 256
)

// Log writes events. It is safe for concurrent use.
type Log struct {
	z     zerolog.Logger
	close io.Closer
	now   func() time.Time

	mu      sync.Mutex
	classes map[string]*eventClass
}

type eventClass struct {
	second     int64
	lines      int
	suppressed int
}

// New returns a log that writes to out, with the VM's name in each line. Lines
// that out doesn't take in time are dropped and counted.
func New(out io.Writer, vm string) *Log {
	l := &Log{classes: map[string]*eventClass{}, now: time.Now}
	w := diode.NewWriter(out, queueLines, 0, func(missed int) {
		l.Warning("log_lines_dropped").Int("lines", missed).Send()
	})
	l.close = w
	l.z = zerolog.New(w).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// Close writes what is queued.
func (l *Log) Close() error { return l.close.Close() }

// Event starts a line about something that is part of normal work. The result
// may be nil, which is fine to use.
func (l *Log) Event(name string) *zerolog.Event { return l.newEvent(zerolog.InfoLevel, name, "") }

// Warning starts a line about a dependency that is lost or an input that is
// wrong.
func (l *Log) Warning(name string) *zerolog.Event { return l.newEvent(zerolog.WarnLevel, name, "") }

// Failure starts a line about an error that ends the process or a command.
func (l *Log) Failure(name string) *zerolog.Event { return l.newEvent(zerolog.ErrorLevel, name, "") }

// Outcome starts a line of a class of its own, so that frequent outcomes don't
// crowd out rare ones.
func (l *Log) Outcome(name, outcome string) *zerolog.Event {
	e := l.newEvent(zerolog.InfoLevel, name, outcome)
	if e == nil {
		return nil
	}
	return e.Str("outcome", outcome)
}

func (l *Log) newEvent(level zerolog.Level, name, outcome string) *zerolog.Event {
	ok, suppressed := l.admit(name + "/" + outcome)
	if !ok {
		return nil
	}
	e := l.z.WithLevel(level).Str("event", name)
	if suppressed > 0 {
		e.Int("suppressed", suppressed)
	}
	return e
}

// admit counts a line of a class and reports whether it is written, and how many
// were left out before it.
func (l *Log) admit(key string) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.classes[key]
	if c == nil {
		if len(l.classes) >= maxClasses {
			key = ""
		}
		if c = l.classes[key]; c == nil {
			c = &eventClass{}
			l.classes[key] = c
		}
	}
	if second := l.now().Unix(); second != c.second {
		c.second, c.lines = second, 0
	}
	if c.lines >= linesPerSecond {
		c.suppressed++
		return false, 0
	}
	c.lines++
	suppressed, c.suppressed = c.suppressed, 0
	return true, suppressed
}

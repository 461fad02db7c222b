// Package eventlog writes structured events as JSON lines. The number of lines
// per class and second is limited, omitted lines are counted, and writing never
// blocks the caller. `ryecourse gateway` uses it.
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
	// queueLines is the number of lines buffered for a slow writer.
	queueLines = 4096
	// maxClasses bounds the classes that are counted separately; further ones
	// share one.
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
// that out doesn't accept in time are dropped and counted.
func New(out io.Writer, vm string) *Log {
	l := &Log{classes: map[string]*eventClass{}, now: time.Now}
	w := diode.NewWriter(out, queueLines, 0, func(missed int) {
		l.Warning("log_lines_dropped").Int("lines", missed).Send()
	})
	l.close = w
	l.z = zerolog.New(w).With().Timestamp().Str("vm", vm).Logger()
	return l
}

// Close writes the buffered lines.
func (l *Log) Close() error { return l.close.Close() }

// Event starts a line about normal operation. The result may be nil, on which
// all methods are safe to call.
func (l *Log) Event(name string) *zerolog.Event { return l.newEvent(zerolog.InfoLevel, name, "") }

// Warning starts a line about a lost dependency or an invalid input.
func (l *Log) Warning(name string) *zerolog.Event { return l.newEvent(zerolog.WarnLevel, name, "") }

// Failure starts a line about an error that ends the process or a command.
func (l *Log) Failure(name string) *zerolog.Event { return l.newEvent(zerolog.ErrorLevel, name, "") }

// Outcome starts a line whose class includes the outcome, so that frequent
// outcomes don't suppress rare ones.
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

// admit counts a line of a class. It reports whether the line is written, and
// how many were omitted before it.
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

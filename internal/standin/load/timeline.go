package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// timelineStep is the width of a line of the timeline.
const timelineStep = time.Second

// moment counts the tries that ended within one step.
type moment struct {
	answered int
	others   map[string]int
}

// PrintTimeline writes a line for each second with the answers, the other ends
// and the events.
func (r *Report) PrintTimeline(w io.Writer) {
	if len(r.Requests) == 0 {
		return
	}
	start := r.Requests[0].Start
	for _, t := range r.Requests {
		if t.Start.Before(start) {
			start = t.Start
		}
	}
	moments := r.moments(start)
	for i := range moments {
		fmt.Fprintf(w, "%3d s  answered=%d %s%s\n", i, moments[i].answered, moments[i].list(), r.eventsIn(start, i))
	}
}

func (r *Report) moments(start time.Time) []moment {
	var out []moment
	for _, t := range r.Requests {
		i := int(t.End.Sub(start) / timelineStep)
		for len(out) <= i {
			out = append(out, moment{others: make(map[string]int)})
		}
		if t.Kind == KindAnswer {
			out[i].answered++
		} else {
			out[i].others[t.Outcome()]++
		}
	}
	return out
}

func (m *moment) list() string {
	var out []string
	for name, n := range m.others {
		out = append(out, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

func (r *Report) eventsIn(start time.Time, step int) string {
	var out strings.Builder
	for _, e := range r.Events {
		if e.At.Sub(start).Truncate(timelineStep) == time.Duration(step)*timelineStep {
			fmt.Fprintf(&out, "  <- %s %s", e.Kind, e.Argument)
		}
	}
	return out.String()
}

// Outcome is the try's kind, with the code and verdict of a refusal.
func (t *Request) Outcome() string {
	if t.Kind != KindRefusal {
		return string(t.Kind)
	}
	return fmt.Sprintf("%d/%s/%s", t.Status, t.Refusal.Code, t.Refusal.Verdict)
}

package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// timelineStep is the time that one line of the timeline covers.
const timelineStep = time.Second

// timelineEntry counts the requests that ended within one step, by outcome.
type timelineEntry struct {
	answered      int
	otherOutcomes map[string]int
}

// PrintTimeline writes a line for each second with the number of answers, the
// other outcomes and the events.
func (r *Report) PrintTimeline(w io.Writer) {
	if len(r.Requests) == 0 {
		return
	}
	start := r.Requests[0].Start
	for _, req := range r.Requests {
		if req.Start.Before(start) {
			start = req.Start
		}
	}
	entries := r.timelineEntries(start)
	for i := range entries {
		fmt.Fprintf(w, "%3d s  answered=%d %s%s\n", i, entries[i].answered, entries[i].formatOthers(), r.eventsIn(start, i))
	}
}

func (r *Report) timelineEntries(start time.Time) []timelineEntry {
	var out []timelineEntry
	for _, req := range r.Requests {
		i := int(req.End.Sub(start) / timelineStep)
		for len(out) <= i {
			out = append(out, timelineEntry{otherOutcomes: make(map[string]int)})
		}
		if req.Kind == KindAnswer {
			out[i].answered++
		} else {
			out[i].otherOutcomes[req.Outcome()]++
		}
	}
	return out
}

func (e *timelineEntry) formatOthers() string {
	var out []string
	for name, n := range e.otherOutcomes {
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

// Outcome returns the request's kind or, for a refusal, its status, code and
// verdict.
func (req *Request) Outcome() string {
	if req.Kind != KindRefusal {
		return string(req.Kind)
	}
	return fmt.Sprintf("%d/%s/%s", req.Status, req.Refusal.Code, req.Refusal.Verdict)
}

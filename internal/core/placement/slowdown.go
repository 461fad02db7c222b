package placement

import (
	"math"
	"time"
)

// slowdown is how long work takes on an instance, as it last reported it. It answers the
// load of upstreams that share their machines with others: their speed changes several
// times a second, too fast for an average of latencies.
//
// The report counts beside the average of latencies, which holds what lasts: the speed
// of the machine, its links and its faults. A report is forgotten long before that
// average is, so that an instance that was slow for a moment is picked again soon. Other
// VMs get no reports from this one, since they would be too old there.
type slowdown struct {
	factor     float64 // in multiples of the usual time; 0 if never reported
	reportedAt time.Time
}

// slowdownMemory is the age at which the deviation of a report from the usual time counts
// for a third. It is a few times the interval in which an executor receives answers of an
// instance, and shorter than the avoidance of an instance by its failures.
const slowdownMemory = 250 * time.Millisecond

// report records a reported slowdown; 0 means that the report doesn't state any.
func (s *slowdown) report(now time.Time, factor float64) {
	if factor > 0 {
		s.factor, s.reportedAt = min(factor, maxSlowness), now
	}
}

// at returns the expected slowdown; 1 if nothing is known.
func (s *slowdown) at(now time.Time) float64 {
	if s.factor == 0 {
		return 1
	}
	age := now.Sub(s.reportedAt)
	return 1 + (s.factor-1)*math.Exp(-age.Seconds()/slowdownMemory.Seconds())
}

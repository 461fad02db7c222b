package admission

import (
	"time"

	"ryecourse.example/ryecourse/internal/core/verdict"
)

// queueRefusal returns the refusal of a query that can't be queued, or nil.
func (s *Scheduler) queueRefusal(now time.Time, c *customer, startBy time.Time) *verdict.Refusal {
	wait := s.estimateWait(c)
	over := now.Add(wait).Sub(startBy)
	if over >= 0 {
		return s.overloadedRefusal(over)
	}
	if c.waiting >= s.config.MaxQueue {
		return s.overloadedRefusal(wait / 2)
	}
	return nil
}

// lateRefusal returns the refusal of a query that can no longer start in time.
func (s *Scheduler) lateRefusal(c *customer) *verdict.Refusal {
	return s.overloadedRefusal(s.estimateWait(c))
}

func (s *Scheduler) overloadedRefusal(retryAfter time.Duration) *verdict.Refusal {
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return verdict.Refuse(verdict.CodeOverloaded, retryAfter, "the service lacks capacity for this customer's queue")
}

// estimateWait estimates the wait of one more query of the customer: the time
// until the virtual time reaches its start tag. The virtual time advances by
// one unit while the service runs as many queries as the sum of the waiting
// customers' weights. The wait is at most the time to run all queries that are
// waiting now.
func (s *Scheduler) estimateWait(c *customer) time.Duration {
	perQuery := s.limiter.serviceTime().Seconds() / float64(s.limiter.current())
	weights := s.activeWeight
	if c.waiting == 0 {
		weights += c.weight
	}
	ahead := max(s.startTag(c)-s.virtualTime, 0) + float64(c.waiting)/c.weight
	own := ahead * weights
	all := float64(s.waiting + 1)
	return time.Duration(min(own, all) * perQuery * float64(time.Second))
}

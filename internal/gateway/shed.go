package gateway

import (
	"errors"
	"time"

	"ryecourse.example/ryecourse/internal/core/fanout"
	"ryecourse.example/ryecourse/internal/core/loadshed"
)

// busyRetryAfter is the Retry-After of a request that all executors which were asked
// rejected as busy. It is several times the latency of a query.
const busyRetryAfter = 200 * time.Millisecond

// servicesOf returns the services of a request, by shard.
func (g *Gateway) servicesOf(in *incoming) []string {
	if in.services == nil {
		if in.route.Sharded != nil {
			in.services = in.route.Sharded.Shards
		} else {
			in.services = []string{g.weights.next(in.route)}
		}
	}
	return in.services
}

// priority returns the request's rank; 0 is the most urgent.
func (in *incoming) priority() int {
	if in.customer != nil && in.customer.Priority != nil {
		return *in.customer.Priority
	}
	return in.route.Priority
}

// shedRequest returns what decides about the request under overload.
func (g *Gateway) shedRequest(in *incoming) loadshed.Request {
	services := g.servicesOf(in)
	r := loadshed.Request{
		Group: loadshed.Group{First: services[0], Count: len(services)}, Services: services, Kind: in.route.Name,
		MinShare: 1, Objective: in.route.Objective, Priority: in.priority(), Customer: in.customerName(),
		Late: in.canHardlyBeInTime(),
	}
	if in.route.Sharded != nil {
		r.MinShare = in.route.Sharded.MinShare
	}
	return r
}

// shed rejects the request if the upstreams bear less than is sent to them and it isn't
// among the requests that they can bear. It returns nil if the request may run.
func (g *Gateway) shed(in *incoming) *refusal {
	r := g.shedRequest(in)
	d := g.shedder.Decide(time.Now(), r)
	if d.Admit {
		return nil
	}
	g.metrics.shed.Inc()
	g.log.Event("shed").Str("request", in.info.ID).Str("route", in.route.Name).Int("priority", r.Priority).
		Bool("waited_too_long", r.Late).Str("customer", r.Customer).Str("service", d.Service).Float64("load_per_slot", d.Load).Dur("wait_ms", d.Wait).Dur("load_age_ms", d.Age).
		Float64("fraction", d.Fraction).Float64("overall_fraction", d.Overall).Dur("retry_after_ms", d.RetryAfter).Send()
	return &refusal{ReasonOverloaded, d.RetryAfter}
}

// admitsExtra reports whether the shard's upstreams have room for an extra attempt.
func (q *proxyRequest) admitsExtra(now time.Time, shard int, kind fanout.Kind) bool {
	r := q.g.shedRequest(q.in)
	return q.g.shedder.AdmitExtra(now, &r, q.services[shard], kind != fanout.Retry)
}

// isOverloaded reports whether another VM rejected a request as its upstreams are
// overloaded. Those of other VMs are the same.
func isOverloaded(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && rejected.Reason == string(ReasonOverloaded)
}

// isRejectedForLoad reports whether the last VM that was asked rejected a request because
// of load, so that this VM must not add to it.
func isRejectedForLoad(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && rejected.isOverload()
}

// retryAfterOf returns how long the caller of a request that was rejected because of load
// should wait.
func retryAfterOf(err error) time.Duration {
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.RetryAfter > 0 {
		return rejected.RetryAfter
	}
	return busyRetryAfter
}

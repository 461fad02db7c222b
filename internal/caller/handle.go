package caller

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/connlimit"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/keys"
	"ryecourse.example/ryecourse/internal/core/scatter"
	"ryecourse.example/ryecourse/internal/core/verdict"
	"ryecourse.example/ryecourse/internal/upstream"
)

// request is one caller's request while it is checked and run.
type request struct {
	server *Server
	ctx    *fasthttp.RequestCtx
	id     string
	start  time.Time

	// conn is the caller's connection, which is charged for charged bytes of payload.
	conn    *connlimit.Conn
	payload []byte
	charged int64
	// hold is charged for upstreams' responses; nil for no bound.
	hold *upstream.Hold

	service  *catalog.Service
	customer *catalog.Customer // nil on an open route without a key
	body     queryBody
}

// serve checks the request, cheapest checks first, and runs its query.
func (r *request) serve() (*scatter.Answer, *verdict.Refusal) {
	if refusal := r.check(); refusal != nil {
		return nil, refusal
	}
	if !r.conn.HasRoomForResponse(r.server.sizes.Expected(r.service.Name)) {
		return nil, overMemory()
	}
	deadline := r.start.Add(r.body.deadline(r.service.Deadline))
	if r.customer != nil {
		ok, wait := r.server.deps.Limiter.Admit(time.Now(), r.customer.Name)
		if !ok {
			return nil, verdict.Refuse(verdict.CodeRateLimited, wait, "The customer's rate is spent.")
		}
	}
	release, refusal := r.server.deps.Scheduler.Acquire(r.service, r.customer, deadline)
	if refusal != nil {
		return nil, refusal
	}
	finish := r.runQuery(deadline)
	release(finish.Refusal)
	return finish.Answer, finish.Refusal
}

// check finds the service and the customer, and parses the body.
func (r *request) check() *verdict.Refusal {
	if r.server.draining.Load() {
		r.ctx.SetConnectionClose()
		return verdict.Refuse(verdict.CodeNotReady, restartRetryAfter, "This VM is shutting down.")
	}
	cat := r.server.deps.Catalogs.Catalog(r.start)
	if cat == nil {
		return verdict.Refuse(verdict.CodeNotReady, restartRetryAfter, "This VM has no current configuration.")
	}
	if r.ctx.Request.Header.Len() > r.server.maxHeaders {
		return verdict.Refuse(verdict.CodeTooLarge, 0, "The request has more than %d headers.", r.server.maxHeaders)
	}
	if !r.ctx.IsPost() {
		return verdict.Refuse(verdict.CodeBadRequest, 0, "The method must be POST.")
	}
	name, ok := serviceName(r.ctx.Path())
	if !ok {
		return verdict.Refuse(verdict.CodeUnknownService, 0, "The path must be /v1/services/NAME/query.")
	}
	if refusal := r.readBody(); refusal != nil {
		return refusal
	}
	if refusal := r.authenticate(cat, name); refusal != nil {
		return refusal
	}
	body, refusal := parseBody(r.payload)
	r.body = body
	return refusal
}

// authenticate checks the key of the request against the active catalog.
func (r *request) authenticate(cat *catalog.Catalog, name string) *verdict.Refusal {
	key := rawKey(&r.ctx.Request.Header)
	if keys.Carries(r.ctx.RequestURI(), key) || keys.Carries(r.payload, key) {
		return verdict.Refuse(verdict.CodeKeyExposed, 0, "A key may stand only in the Authorization header. Replace this key.")
	}
	service := cat.Services[name]
	if key == "" && service != nil && service.Open {
		r.service = service
		return nil
	}
	hash := keys.Hash(key)
	if cat.KeyUnconfirmed(hash) {
		return verdict.Refuse(verdict.CodeNotReady, unconfirmedRetryAfter, "The configuration file with this key is broken, and an earlier version that this VM doesn't know may have withdrawn the key.")
	}
	customer := cat.CustomerByKeyHash(hash)
	if customer == nil {
		return verdict.Refuse(verdict.CodeUnknownKey, 0, "The key is missing, unknown or withdrawn.")
	}
	if service == nil {
		return verdict.Refuse(verdict.CodeUnknownService, 0, "The service is unknown.")
	}
	if len(customer.Services) > 0 && !slices.Contains(customer.Services, name) {
		return verdict.Refuse(verdict.CodeForbidden, 0, "The customer may not use this service.")
	}
	r.service, r.customer = service, customer
	return nil
}

// runQuery runs the query. The body is copied because attempts may outlive the
// request's buffers.
func (r *request) runQuery(deadline time.Time) *scatter.Finish {
	query := r.server.deps.Planner.Plan(r.service, Params{
		RequestID:   r.id,
		Deadline:    deadline,
		MinCoverage: r.body.coverage(),
		RoutingKey:  r.body.RoutingKey,
	})
	exec := &executor{
		pool:      r.server.deps.Pool,
		query:     query,
		requestID: r.id,
		service:   r.service.Name,
		header:    r.forwardedFields(),
		body:      slices.Clone([]byte(r.body.Query)),
		hold:      r.hold,
		calls:     make([]*upstream.Call, 0, r.expectedCalls()+1),
		callBlock: make([]upstream.Call, r.expectedCalls()),
		inbox:     make([]event, 0, r.expectedCalls()),
		wake:      make(chan struct{}, 1),
		stopped:   r.server.stopped,
	}
	return exec.execute()
}

// expectedCalls is the number of attempts of a query without hedges or retries.
func (r *request) expectedCalls() int {
	if r.service.SingleShard {
		return 1
	}
	return len(r.service.Shards)
}

// forwardedFields copies the headers that may be forwarded, except those that
// contain the key.
func (r *request) forwardedFields() []upstream.HeaderField {
	key := rawKey(&r.ctx.Request.Header)
	var out []upstream.HeaderField
	for _, name := range forwardedHeaders {
		v := r.ctx.Request.Header.Peek(name)
		if len(v) == 0 || keys.Carries(v, key) {
			continue
		}
		out = append(out, upstream.HeaderField{Name: name, Value: stripControlChars(v)})
	}
	return out
}

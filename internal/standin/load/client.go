package load

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

const (
	// timeoutMargin is how long a caller waits beyond the deadline.
	timeoutMargin = 2 * time.Second
	// maxConnections bounds the connections to one daemon.
	maxConnections = 256
	dialTimeout    = time.Second
)

// Client sends requests to one daemon over keep-alive connections. The HTTP
// library's own retries are off.
type Client struct {
	address string
	host    *fasthttp.HostClient
}

// unreachableError is a dial error: no byte of the request was sent.
type unreachableError struct{ err error }

// Error implements error.
func (e *unreachableError) Error() string { return "unreachable: " + e.err.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

// NewClient returns a Client of the daemon at address.
func NewClient(address string) *Client {
	return &Client{address: address, host: &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      maxConnections,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DisableHeaderNamesNormalizing: false,
		Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(addr, dialTimeout)
			if err != nil {
				return nil, &unreachableError{err: err}
			}
			return c, nil
		},
	}}
}

// body is the JSON body of a query, as described in docs/API.md.
type body struct {
	Query       query   `json:"query"`
	MinCoverage float64 `json:"min_coverage"`
	DeadlineMS  int     `json:"deadline_ms"`
	RoutingKey  string  `json:"routing_key,omitempty"`
}

type query struct {
	Text string `json:"text"`
}

// encode returns the JSON body for a query text, and the digest of the query.
func encode(s *Service, text string) ([]byte, uint64, error) {
	q := query{Text: text}
	raw, err := json.Marshal(q)
	if err != nil {
		return nil, 0, err
	}
	b := body{Query: q, MinCoverage: s.minCoverage(), DeadlineMS: s.DeadlineMS}
	if s.SingleShard {
		b.RoutingKey = text
	}
	content, err := json.Marshal(b)
	return content, leaf.QueryDigest(raw), err
}

// Send sends one request with the given query text and returns it with its
// response.
func (c *Client) Send(s *Service, customer *Customer, text string) *Request {
	result := &Request{Service: s, Customer: customer, Daemon: c.address}
	content, digest, err := encode(s, text)
	if err != nil {
		result.Kind, result.Err = KindMalformed, err
		return result
	}
	result.Digest = digest
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + "/v1/services/" + s.Name + "/query")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+customer.Key)
	req.SetBody(content)
	result.Start = time.Now()
	limit := time.Duration(s.DeadlineMS)*time.Millisecond + timeoutMargin
	result.Err = c.host.DoTimeout(req, resp, limit)
	result.End = time.Now()
	result.classify(resp)
	return result
}

// classify sets the request's kind from its transport error or its response.
func (req *Request) classify(resp *fasthttp.Response) {
	var unreachable *unreachableError
	switch {
	case errors.As(req.Err, &unreachable):
		req.Kind = KindUnreachable
	case errors.Is(req.Err, fasthttp.ErrTimeout):
		req.Kind = KindTimedOut
	case req.Err != nil:
		req.Kind = KindConnectionLost
	default:
		req.decode(resp.StatusCode(), resp.Body())
	}
}

func (req *Request) decode(status int, content []byte) {
	req.Status = status
	if status == fasthttp.StatusOK {
		req.Kind = KindAnswer
		req.Err = json.Unmarshal(content, &req.Answer)
	} else {
		req.Kind = KindRefusal
		req.Err = json.Unmarshal(content, &req.Refusal)
	}
	if req.Err != nil {
		req.Kind = KindMalformed
		return
	}
	if req.Kind == KindAnswer {
		req.Mismatch = req.checkAnswer()
	}
}

// clients holds a client for each daemon, and until when each unreachable one is
// avoided.
type clients struct {
	all []*Client

	mu   sync.Mutex
	down map[*Client]time.Time
}

// unreachablePenalty is how long an unreachable daemon is tried after the others.
const unreachablePenalty = 500 * time.Millisecond

func newClients(addresses []string) *clients {
	c := &clients{down: make(map[*Client]time.Time)}
	for _, a := range addresses {
		c.all = append(c.all, NewClient(a))
	}
	return c
}

// order returns the clients in rotation from the n-th on. Recently unreachable
// ones come last.
func (c *clients) order(n int, now time.Time) []*Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up, down []*Client
	for i := range c.all {
		next := c.all[(n+i)%len(c.all)]
		if now.Before(c.down[next]) {
			down = append(down, next)
		} else {
			up = append(up, next)
		}
	}
	return append(up, down...)
}

func (c *clients) markUnreachable(client *Client, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[client] = now.Add(unreachablePenalty)
}

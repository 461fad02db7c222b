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
	// patience is how long after the deadline a caller still waits.
	patience = 2 * time.Second
	// maxConnections bounds the connections to one daemon.
	maxConnections = 256
	dialTimeout    = time.Second
)

// Client sends tries to one daemon over kept-alive connections. The library's
// own retries are off.
type Client struct {
	address string
	host    *fasthttp.HostClient
}

// unreachableError marks an error before any byte was sent.
type unreachableError struct{ err error }

// Error implements error.
func (e *unreachableError) Error() string { return "unreachable: " + e.err.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

// NewClient returns a Client of one daemon.
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

// body is the caller's JSON of docs/API.md.
type body struct {
	Query       query   `json:"query"`
	MinCoverage float64 `json:"min_coverage"`
	DeadlineMS  int     `json:"deadline_ms"`
	RoutingKey  string  `json:"routing_key,omitempty"`
}

type query struct {
	Text string `json:"text"`
}

// encode returns the body for a text and the digest of its query.
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

// Send makes one try with the text as its query.
func (c *Client) Send(s *Service, customer *Customer, text string) *Request {
	t := &Request{Service: s, Customer: customer, Daemon: c.address}
	content, digest, err := encode(s, text)
	if err != nil {
		t.Kind, t.Err = KindMalformed, err
		return t
	}
	t.Digest = digest
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address + "/v1/services/" + s.Name + "/query")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+customer.Key)
	req.SetBody(content)
	t.Start = time.Now()
	limit := time.Duration(s.DeadlineMS)*time.Millisecond + patience
	t.Err = c.host.DoTimeout(req, resp, limit)
	t.End = time.Now()
	t.classify(resp)
	return t
}

// classify fills in the try's kind.
func (t *Request) classify(resp *fasthttp.Response) {
	var unreachable *unreachableError
	switch {
	case errors.As(t.Err, &unreachable):
		t.Kind = KindUnreachable
	case errors.Is(t.Err, fasthttp.ErrTimeout):
		t.Kind = KindTimedOut
	case t.Err != nil:
		t.Kind = KindConnectionLost
	default:
		t.decode(resp.StatusCode(), resp.Body())
	}
}

func (t *Request) decode(status int, content []byte) {
	t.Status = status
	if status == fasthttp.StatusOK {
		t.Kind = KindAnswer
		t.Err = json.Unmarshal(content, &t.Answer)
	} else {
		t.Kind = KindRefusal
		t.Err = json.Unmarshal(content, &t.Refusal)
	}
	if t.Err != nil {
		t.Kind = KindMalformed
		return
	}
	if t.Kind == KindAnswer {
		t.Mismatch = t.checkAnswer()
	}
}

// clients holds a client for each daemon, and which of them were unreachable
// a moment ago.
type clients struct {
	all []*Client

	mu   sync.Mutex
	down map[*Client]time.Time
}

// downTime is how long an unreachable daemon gets no first tries.
const downTime = 500 * time.Millisecond

func newClients(addresses []string) *clients {
	c := &clients{down: make(map[*Client]time.Time)}
	for _, a := range addresses {
		c.all = append(c.all, NewClient(a))
	}
	return c
}

// order returns the clients from the n-th on, those that were unreachable last.
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

func (c *clients) unreachable(which *Client, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[which] = now.Add(downTime)
}

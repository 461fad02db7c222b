// Package peer implements the RPCs between the daemons of one fleet, using
// connect-go. `ryecourse serve` uses it; the gateway's RPCs are in package
// fleetrpc.
//
// The listener doesn't serve callers. A message from another fleet, or without
// proof of the fleet's secret, is refused before its content is read.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	peerv1 "ryecourse.example/ryecourse/internal/gen/peer/v1"
	"ryecourse.example/ryecourse/internal/gen/peer/v1/peerv1connect"
	"ryecourse.example/ryecourse/internal/respbody"
)

const (
	// callTimeout bounds one call between daemons.
	callTimeout = time.Second
	// maxMessageBytes bounds one message.
	maxMessageBytes = 32 << 20
	// maxIdlePerPeer is the largest number of idle connections to one peer.
	maxIdlePerPeer = 8
	// idleTimeout closes connections without a call.
	idleTimeout = 30 * time.Second
	// maxClients bounds the cached clients. Addresses change as VMs are
	// replaced.
	maxClients = 4096
	// proofHeader carries the proof that the sender has the fleet's secret.
	proofHeader = "X-Fleet-Proof"
)

// ErrNotInFleet is returned to a sender without proof that it belongs to this
// fleet.
var ErrNotInFleet = errors.New("sender is not of this fleet")

// Identity names a daemon's fleet and proves membership in it.
type Identity struct {
	Fleet  string
	Secret string
	// VM and Incarnation are those of this process.
	VM          string
	Incarnation uint64
}

// proof is an HMAC-SHA-256 (RFC 2104) of the fleet's name.
//
// It is the same for all daemons and messages of a fleet. It guards against
// mistakes within a private network: a daemon of another fleet, a daemon with
// another secret, or a health check on the wrong port. It doesn't suffice where
// others can read the fleet's packets, since anyone who has seen one message
// can forge more. There, the peers need an encrypted network. A nonce or a
// timestamp in the proof would not help, since contents are not encrypted
// either.
//
// Duplicate messages are harmless without a nonce: lend requests and releases
// carry increasing IDs, and digests, claims and notices are idempotent.
func (id Identity) proof() string {
	mac := hmac.New(sha256.New, []byte(id.Secret))
	mac.Write([]byte(id.Fleet))
	return hex.EncodeToString(mac.Sum(nil))
}

// Client calls other daemons. It is safe for concurrent use.
type Client struct {
	id    Identity
	proof string
	http  *http.Client

	mu    sync.Mutex
	peers map[string]peerv1connect.PeerServiceClient
}

// NewClient returns a client of the fleet's daemons. Their responses are charged to the account.
func NewClient(id Identity, memory respbody.Account) *Client {
	return &Client{
		id:    id,
		proof: id.proof(),
		http:  &http.Client{Timeout: callTimeout, Transport: newTransport(memory)},
		peers: make(map[string]peerv1connect.PeerServiceClient),
	}
}

func newTransport(memory respbody.Account) http.RoundTripper {
	return respbody.Transport(memory, respbody.DecodeFactor, &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout,
	}, callTimeout)
}

func (c *Client) peer(addr string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[addr]
	if !ok {
		if len(c.peers) >= maxClients {
			clear(c.peers)
		}
		p = peerv1connect.NewPeerServiceClient(c.http, fmt.Sprintf("http://%s", addr),
			connect.WithInterceptors(connect.UnaryInterceptorFunc(c.addProof)),
			connect.WithReadMaxBytes(maxMessageBytes))
		c.peers[addr] = p
	}
	return p
}

func (c *Client) addProof(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set(proofHeader, c.proof)
		return next(ctx, req)
	}
}

// Exchange exchanges digests with the daemon at addr.
func (c *Client) Exchange(addr string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return c.peer(addr).Exchange(context.Background(), req)
}

// FetchFiles fetches configuration files from the daemon at addr.
func (c *Client) FetchFiles(addr string, req *peerv1.FetchFilesRequest) (*peerv1.FetchFilesResponse, error) {
	return c.peer(addr).FetchFiles(context.Background(), req)
}

// Lend requests shares from the daemon at addr.
func (c *Client) Lend(addr string, req *peerv1.LendRequest) (*peerv1.LendResponse, error) {
	return c.peer(addr).Lend(context.Background(), req)
}

// Release returns shares to the daemon at addr.
func (c *Client) Release(addr string, req *peerv1.ReleaseRequest) error {
	_, err := c.peer(addr).Release(context.Background(), req)
	return err
}

// Probe requests the claim of the daemon at addr.
func (c *Client) Probe(addr string, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return c.peer(addr).Probe(context.Background(), req)
}

// Handover hands slots over to the daemon at addr.
func (c *Client) Handover(addr string, req *peerv1.HandoverRequest) error {
	_, err := c.peer(addr).Handover(context.Background(), req)
	return err
}

// Notify sends observations about upstreams to the daemon at addr.
func (c *Client) Notify(addr string, req *peerv1.NotifyRequest) error {
	_, err := c.peer(addr).Notify(context.Background(), req)
	return err
}

// AskRamps queries the daemon at addr for the warm-up ramps of upstreams.
func (c *Client) AskRamps(addr string, req *peerv1.AskRampsRequest) (*peerv1.AskRampsResponse, error) {
	return c.peer(addr).AskRamps(context.Background(), req)
}

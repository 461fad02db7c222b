// Package platform reads the configuration service and the VM list of the
// platform. It never writes. The protocol is in docs/PLATFORM.md.
package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
)

const (
	// callTimeout bounds a call beyond its wait.
	callTimeout = 2 * time.Second
	// maxIndexBytes bounds the answer to an index or list call.
	maxIndexBytes = 64 << 20
)

// ErrNotModified means that a watch ended without a change.
var ErrNotModified = errors.New("not modified")

// ErrDeleted means that a file no longer exists.
var ErrDeleted = errors.New("file deleted")

// CallError is a failed read of the platform. Reads have no side effects, so a
// retry is always safe.
type CallError struct {
	URL    string
	Status int
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("platform read %s: %v", e.URL, e.Err)
	}
	return fmt.Sprintf("platform read %s: status %d", e.URL, e.Status)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// FileInfo is one entry of the folder's index.
type FileInfo struct {
	Name      string `json:"name"`
	Revision  uint64 `json:"revision"`
	Publisher string `json:"publisher"`
}

// Index is one revision of the configuration folder.
type Index struct {
	Revision uint64     `json:"revision"`
	Files    []FileInfo `json:"files"`
}

// Client reads from the replicas of the platform's service in turn. It is safe
// for concurrent use.
type Client struct {
	bases []string
	next  atomic.Uint64
	http  *fasthttp.Client
	reads atomic.Uint64
}

// New returns a client for the given base URLs.
func New(bases []string) *Client {
	return &Client{
		bases: bases,
		http: &fasthttp.Client{
			Name:                      "ryecourse",
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       maxIndexBytes,
			ReadBufferSize:            16 << 10,
		},
	}
}

// Reads returns the number of calls made.
func (c *Client) Reads() uint64 { return c.reads.Load() }

// Index returns the folder's index as soon as its revision exceeds since, or
// ErrNotModified after wait. A negative since asks for the index at once.
func (c *Client) Index(since int64, wait time.Duration) (Index, error) {
	var out Index
	err := c.getJSON("/v1/config"+watchQuery(since, wait), wait, &out)
	return out, err
}

// File returns a file's content.
func (c *Client) File(name string) (catalog.Published, error) {
	var out catalog.Published
	err := c.get("/v1/config/files/"+url.PathEscape(name), 0, func(resp *fasthttp.Response) error {
		rev, err := strconv.ParseUint(string(resp.Header.Peek("X-Revision")), 10, 64)
		if err != nil {
			return err
		}
		out = catalog.Published{
			Name:      name,
			Revision:  rev,
			Publisher: string(resp.Header.Peek("X-Publisher")),
			Content:   append([]byte(nil), resp.Body()...),
		}
		return nil
	})
	return out, err
}

type vmJSON struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"`
}

type listJSON struct {
	Revision uint64   `json:"revision"`
	VMs      []vmJSON `json:"vms"`
}

// VMs returns the VM list as soon as its revision exceeds since, or
// ErrNotModified after wait. A negative since asks for the list at once.
func (c *Client) VMs(since int64, wait time.Duration) (membership.List, error) {
	var raw listJSON
	if err := c.getJSON("/v1/vms"+watchQuery(since, wait), wait, &raw); err != nil {
		return membership.List{}, err
	}
	vms := make([]membership.VM, 0, len(raw.VMs))
	for _, v := range raw.VMs {
		vms = append(vms, membership.VM{ID: v.ID, Zone: v.Zone, PeerAddress: v.PeerAddress, Leaving: v.State == "leaving"})
	}
	slices.SortFunc(vms, func(a, b membership.VM) int { return cmp.Compare(a.ID, b.ID) })
	return membership.List{Revision: raw.Revision, VMs: vms}, nil
}

func watchQuery(since int64, wait time.Duration) string {
	if since < 0 {
		return ""
	}
	return fmt.Sprintf("?since=%d&wait_ms=%d", since, wait.Milliseconds())
}

func (c *Client) getJSON(path string, wait time.Duration, out any) error {
	return c.get(path, wait, func(resp *fasthttp.Response) error {
		return json.Unmarshal(resp.Body(), out)
	})
}

// get calls the next replica once and hands a 200 answer to read.
func (c *Client) get(path string, wait time.Duration, read func(*fasthttp.Response) error) error {
	base := c.bases[c.next.Add(1)%uint64(len(c.bases))]
	target := base + path
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(target)
	c.reads.Add(1)
	if err := c.http.DoTimeout(req, resp, wait+callTimeout); err != nil {
		return &CallError{URL: target, Err: err}
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		if err := read(resp); err != nil {
			return &CallError{URL: target, Status: fasthttp.StatusOK, Err: err}
		}
		return nil
	case fasthttp.StatusNotModified:
		return ErrNotModified
	case fasthttp.StatusNotFound:
		return ErrDeleted
	}
	return &CallError{URL: target, Status: resp.StatusCode()}
}

// Package configservice reads the configuration and the VM list from the
// platform's configuration service. It never writes. The protocol is described
// in docs/PLATFORM.md. `ryecourse serve` uses it; the gateway reads another store,
// see the package platform at the root.
package configservice

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/membership"
	"ryecourse.example/ryecourse/internal/respbody"
)

const (
	// callTimeout is the timeout of a call, added to its wait time.
	callTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// maxIndexBytes bounds the response to an index or list call.
	maxIndexBytes = 64 << 20
	// maxFileBytes is how much of a file is kept. A larger one is truncated to
	// this size, which the catalog rejects as too large. The other files are
	// not affected.
	maxFileBytes = catalog.MaxFileSize + 1
)

// ErrNotModified means that a watch ended without a change.
var ErrNotModified = errors.New("not modified")

// ErrDeleted means that a file no longer exists.
var ErrDeleted = errors.New("file deleted")

var errNoRevision = errors.New("the response has no revision")

// EntryError reports a response with an invalid entry.
type EntryError struct {
	Entry   string
	Message string
}

// Error implements error.
func (e *EntryError) Error() string { return fmt.Sprintf("entry %q: %s", e.Entry, e.Message) }

// CallError is a failed read from the platform. Reads have no side effects, so
// a retry is always safe.
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

// callKind is the type of a call.
type callKind int

const (
	callIndex callKind = iota
	callFile
	callList
	numCallKinds
)

// Client reads from the replicas of the platform's service. Each kind of call
// rotates over the replicas separately: with a shared counter, a reader that
// alternates two kinds of calls over two replicas would always send each kind
// to just one replica. It is safe for concurrent use.
type Client struct {
	bases   []string
	next    [numCallKinds]atomic.Uint64
	http    *http.Client
	reads   atomic.Uint64
	timeout time.Duration // added to a call's wait
}

// New returns a client for the given base URLs. Responses are charged to the account.
func New(bases []string, memory respbody.Account) *Client {
	return &Client{
		bases:   bases,
		timeout: callTimeout,
		http: &http.Client{
			Transport: respbody.Transport(memory, respbody.DecodeFactor, &http.Transport{IdleConnTimeout: idleTimeout}, callTimeout),
			// Replicas respond themselves.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Reads returns the number of calls made.
func (c *Client) Reads() uint64 { return c.reads.Load() }

// Index returns the folder's index as soon as its revision exceeds since, or
// ErrNotModified after wait. A negative since requests the index at once.
func (c *Client) Index(since int64, wait time.Duration) (Index, error) {
	var out Index
	err := c.getJSON(callIndex, "/v1/config"+watchQuery(since, wait), wait, &out, out.validate)
	if err != nil {
		return Index{}, err
	}
	return out, nil
}

// validate rejects an invalid index. Which file names are valid is checked by
// the catalog.
func (i *Index) validate() error {
	if i.Revision == 0 {
		return errNoRevision
	}
	seen := make(map[string]bool, len(i.Files))
	for _, f := range i.Files {
		switch {
		case f.Name == "" || seen[f.Name]:
			return &EntryError{Entry: f.Name, Message: "a file's name must be set and unique"}
		case f.Revision == 0 || f.Revision > i.Revision:
			return &EntryError{Entry: f.Name, Message: "a file's revision must be between 1 and the folder's revision"}
		}
		seen[f.Name] = true
	}
	return nil
}

// File returns a file's content.
func (c *Client) File(name string) (catalog.File, error) {
	var out catalog.File
	err := c.get(callFile, "/v1/config/files/"+url.PathEscape(name), 0, func(h http.Header, content []byte) error {
		rev, err := strconv.ParseUint(h.Get("X-Revision"), 10, 64)
		if err != nil {
			return err
		}
		if rev == 0 {
			return errNoRevision
		}
		out = catalog.File{
			Name:      name,
			Revision:  rev,
			Publisher: h.Get("X-Publisher"),
			Content:   bytes.Clone(content[:min(len(content), maxFileBytes)]),
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

// validate rejects an invalid list. A VM without a zone or an address is valid
// and counts as a VM.
func (l *listJSON) validate() error {
	if l.Revision == 0 {
		return errNoRevision
	}
	seen := make(map[string]bool, len(l.VMs))
	for _, v := range l.VMs {
		if v.ID == "" || seen[v.ID] {
			return &EntryError{Entry: v.ID, Message: "a VM's id must be set and unique"}
		}
		seen[v.ID] = true
	}
	return nil
}

// VMs returns the VM list as soon as its revision exceeds since, or
// ErrNotModified after wait. A negative since requests the list at once.
func (c *Client) VMs(since int64, wait time.Duration) (membership.List, error) {
	var raw listJSON
	if err := c.getJSON(callList, "/v1/vms"+watchQuery(since, wait), wait, &raw, raw.validate); err != nil {
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

func (c *Client) getJSON(kind callKind, path string, wait time.Duration, out any, check func() error) error {
	return c.get(kind, path, wait, func(_ http.Header, body []byte) error {
		if err := json.Unmarshal(body, out); err != nil {
			return err
		}
		return check()
	})
}

// get calls the next replica once and passes a response with status 200 to
// read.
func (c *Client) get(kind callKind, path string, wait time.Duration, read func(h http.Header, body []byte) error) error {
	base := c.bases[c.next[kind].Add(1)%uint64(len(c.bases))]
	target := base + path
	ctx, cancel := context.WithTimeout(context.Background(), wait+c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return &CallError{URL: target, Err: err}
	}
	req.Header.Set("User-Agent", "ryecourse")
	c.reads.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return &CallError{URL: target, Err: err}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		body, err := readAll(resp)
		if err == nil {
			err = read(resp.Header, body)
		}
		if err != nil {
			return &CallError{URL: target, Status: http.StatusOK, Err: err}
		}
		return nil
	case http.StatusNotModified:
		return ErrNotModified
	case http.StatusNotFound:
		return ErrDeleted
	}
	return &CallError{URL: target, Status: resp.StatusCode}
}

// readAll reads a body of at most maxIndexBytes.
func readAll(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxIndexBytes+1))
	if len(body) > maxIndexBytes {
		return nil, errTooLong
	}
	return body, err
}

var errTooLong = errors.New("the response is too long")

package fleetrpc

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
)

// ChangeSource is this VM's copy of the metadata.
type ChangeSource interface {
	// ChangesSince returns the changes that a VM at the position lacks; false if
	// there is no metadata yet.
	ChangesSince(from metadata.Position) (metadata.Batch, bool)
}

// wireChange is the encoding of a metadata.Change.
type wireChange struct {
	Subject         metadata.Subject     `json:"s"`
	Name            string               `json:"n,omitempty"`
	Revision        int64                `json:"r"`
	ContentRevision int64                `json:"m,omitempty"`
	Deleted         bool                 `json:"d,omitempty"`
	HoldMs          int64                `json:"h,omitempty"` // 0: not held
	Config          json.RawMessage      `json:"c,omitempty"` // routetable.Config
	Upstream        *routetable.Upstream `json:"u,omitempty"`
	Error           string               `json:"e,omitempty"`
}

// errNoConfig is the error of a change of the configuration without one.
var errNoConfig = errors.New("a change of the configuration has no configuration")

// configEncoding keeps the encoding of the last configuration, which is the same for
// all VMs that read from this one.
type configEncoding struct {
	mu      sync.Mutex
	version int64
	data    json.RawMessage
}

func (e *configEncoding) encode(c *routetable.Config) (json.RawMessage, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil && e.version == c.Version {
		return e.data, nil
	}
	data, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	e.version, e.data = c.Version, data
	return data, nil
}

var errNoMetadata = connect.NewError(connect.CodeUnavailable, errors.New("nothing is known from the store yet"))

// Follow implements fleetv1connect.FleetServiceHandler.
func (s server) Follow(_ context.Context, req *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	b, ok := s.exchanger.changes.ChangesSince(metadata.Position{Era: req.Era, Revision: req.After})
	if !ok {
		return nil, errNoMetadata
	}
	items := make([]wireChange, 0, len(b.Changes))
	for _, c := range b.Changes {
		it := wireChange{Subject: c.Subject, Name: c.Name, Revision: c.Revision, Deleted: c.Deleted}
		if c.Config != nil {
			config, err := s.exchanger.encodedConfig.encode(c.Config)
			if err != nil {
				return nil, connect.NewError(connect.CodeInternal, err)
			}
			it.Config = config
		}
		it.ContentRevision = c.ContentRevision
		if c.Hold > 0 {
			it.HoldMs = max(c.Hold.Milliseconds(), 1)
		}
		if c.Subject == metadata.SubjectUpstream && (!c.Deleted || c.Hold > 0) {
			it.Upstream = &c.Upstream
		}
		if c.Err != nil {
			it.Error = c.Err.Error()
		}
		items = append(items, it)
	}
	data, err := json.Marshal(items)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return &fleetv1.FollowResponse{
		Revision: b.Revision, Full: b.Full, AgeMs: uint32(b.Age.Milliseconds()), Changes: data, Era: b.Era, Unconfirmed: b.Unconfirmed,
	}, nil
}

// chooseReaders sets the readers of this VM, if any, in order of preference.
// The caller must hold mu.
func (e *Exchanger) chooseReaders(now time.Duration) {
	readers, relay := e.members.Readers(now)
	if !slices.Equal(readers, e.readers) {
		e.log.Event("reader_chosen").Strs("readers", readers).Bool("is_relay", relay).Send()
	}
	e.readers, e.isRelay = readers, relay
}

// Readers returns the VMs that read the metadata store on behalf of this one,
// in order of preference.
func (e *Exchanger) Readers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readers
}

// IsRelay reports whether other VMs read the metadata from this one.
func (e *Exchanger) IsRelay() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isRelay
}

// FallbackPeer returns a VM that is neither leaving nor suspected, another one
// with each call, or "".
func (e *Exchanger) FallbackPeer() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.FallbackPeer(boottime.Now())
}

// Follow returns the changes that another VM has received since the position.
func (e *Exchanger) Follow(ctx context.Context, peer string, from metadata.Position) (metadata.Batch, error) {
	e.mu.Lock()
	client := e.peer(peer).client
	e.mu.Unlock()
	resp, err := client.Follow(ctx, &fleetv1.FollowRequest{After: from.Revision, Era: from.Era})
	if err != nil {
		return metadata.Batch{}, err
	}
	var items []wireChange
	if err := json.Unmarshal(resp.Changes, &items); err != nil {
		return metadata.Batch{}, err
	}
	b := metadata.Batch{Revision: resp.Revision, Era: resp.Era, Full: resp.Full, Unconfirmed: resp.Unconfirmed, Age: time.Duration(resp.AgeMs) * time.Millisecond}
	for _, it := range items {
		c := metadata.Change{Subject: it.Subject, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted}
		if len(it.Config) > 0 {
			if err := json.Unmarshal(it.Config, &c.Config); err != nil {
				return metadata.Batch{}, err
			}
		}
		if c.Subject == metadata.SubjectConfig && c.Config == nil && !c.Deleted && it.Error == "" {
			return metadata.Batch{}, errNoConfig
		}
		c.ContentRevision = it.ContentRevision
		c.Hold = time.Duration(it.HoldMs) * time.Millisecond
		if it.Upstream != nil {
			c.Upstream = *it.Upstream
		}
		if it.Error != "" {
			c.Err = errors.New(it.Error)
		}
		b.Changes = append(b.Changes, c)
	}
	return b, nil
}

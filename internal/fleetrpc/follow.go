package fleetrpc

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"ryecourse.example/ryecourse/internal/boottime"
	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
	fleetv1 "ryecourse.example/ryecourse/internal/gen/fleet/v1"
)

// ChangeSource is what a VM has learned from the metadata store.
type ChangeSource interface {
	// ChangesSince returns what a VM at the revision lacks; false if there is nothing yet.
	ChangesSince(after int64) (metadata.Batch, bool)
}

// wireChange is a feed.Change on the wire.
type wireChange struct {
	Subject  metadata.Subject     `json:"s"`
	Name     string               `json:"n,omitempty"`
	Revision int64                `json:"r"`
	Material int64                `json:"m,omitempty"`
	Deleted  bool                 `json:"d,omitempty"`
	HoldMs   int64                `json:"h,omitempty"` // 0: not held
	Config   *routetable.Config   `json:"c,omitempty"`
	Upstream *routetable.Upstream `json:"u,omitempty"`
	Error    string               `json:"e,omitempty"`
}

var errNoMetadata = connect.NewError(connect.CodeUnavailable, errors.New("nothing is known from the store yet"))

// Follow implements fleetv1connect.FleetServiceHandler.
func (s server) Follow(_ context.Context, req *fleetv1.FollowRequest) (*fleetv1.FollowResponse, error) {
	b, ok := s.exchanger.changes.ChangesSince(req.After)
	if !ok {
		return nil, errNoMetadata
	}
	items := make([]wireChange, 0, len(b.Changes))
	for _, c := range b.Changes {
		it := wireChange{Subject: c.Subject, Name: c.Name, Revision: c.Revision, Deleted: c.Deleted, Config: c.Config}
		it.Material = c.ContentRevision
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
		Revision: b.Revision, Full: b.Full, AgeMs: uint32(b.Age.Milliseconds()), Changes: data,
	}, nil
}

// chooseReaders orders the VMs that this one follows, if any. The caller holds mu.
func (l *Exchanger) chooseReaders(now time.Duration) {
	readers := l.table.Readers(now)
	if slices.Contains(readers, l.self) {
		readers = nil
	}
	if n := len(readers); n > 0 { // VMs spread over the readers
		first := l.table.RelayIndex() % n
		readers = append(slices.Clone(readers[first:]), readers[:first]...)
	}
	if !slices.Equal(readers, l.readers) {
		l.log.Event("reader_chosen").Strs("readers", readers).Send()
	}
	l.readers = readers
}

// Readers returns the VMs that read the metadata store for this one, in the order in
// which to ask them.
func (l *Exchanger) Readers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readers
}

// FallbackPeer returns another VM that answers, a different one with each call, or "".
func (l *Exchanger) FallbackPeer() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.FallbackPeer(boottime.Now())
}

// Follow asks another VM for what it has learned since the revision.
func (l *Exchanger) Follow(ctx context.Context, peer string, after int64) (metadata.Batch, error) {
	l.mu.Lock()
	client := l.peer(peer).client
	l.mu.Unlock()
	resp, err := client.Follow(ctx, &fleetv1.FollowRequest{After: after})
	if err != nil {
		return metadata.Batch{}, err
	}
	var items []wireChange
	if err := json.Unmarshal(resp.Changes, &items); err != nil {
		return metadata.Batch{}, err
	}
	b := metadata.Batch{Revision: resp.Revision, Full: resp.Full, Age: time.Duration(resp.AgeMs) * time.Millisecond}
	for _, it := range items {
		c := metadata.Change{Subject: it.Subject, Name: it.Name, Revision: it.Revision, Deleted: it.Deleted, Config: it.Config}
		c.ContentRevision = it.Material
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

package control

import (
	"context"
	"errors"
	"time"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/platform"
)

const (
	// watchWait is how long a watch on the platform may wait.
	watchWait = 10 * time.Second
	// retryWait is the wait after a failed read.
	retryWait = 500 * time.Millisecond
)

// watchConfig reads the folder and posts every newer version to the loop.
func (c *Control) watchConfig(ctx context.Context) {
	since := int64(-1)
	files := make(map[string]catalog.Published)
	for ctx.Err() == nil {
		index, err := c.deps.Platform.Index(since, watchWait)
		if errors.Is(err, platform.ErrNotModified) {
			continue
		}
		if err == nil && int64(index.Revision) > since {
			files, err = c.fetch(index, files)
		}
		if err != nil {
			pause(ctx, retryWait)
			continue
		}
		since = max(since, int64(index.Revision))
		list := make([]catalog.Published, 0, len(files))
		for _, f := range files {
			list = append(list, f)
		}
		c.loop.Post(func(now time.Time) { c.onFiles(now, index.Revision, list) })
	}
}

// fetch returns the files of the index and reads those that have changed.
func (c *Control) fetch(index platform.Index, have map[string]catalog.Published) (map[string]catalog.Published, error) {
	out := make(map[string]catalog.Published, len(index.Files))
	for _, info := range index.Files {
		if f, ok := have[info.Name]; ok && f.Revision == info.Revision {
			out[info.Name] = f
			continue
		}
		f, err := c.deps.Platform.File(info.Name)
		if errors.Is(err, platform.ErrDeleted) {
			continue
		}
		if err != nil {
			return have, err
		}
		out[info.Name] = f
	}
	return out, nil
}

// watchList reads the VM list and posts every answer to the loop.
func (c *Control) watchList(ctx context.Context) {
	since := int64(-1)
	for ctx.Err() == nil {
		asked := time.Now()
		list, err := c.deps.Platform.VMs(since, retryWait)
		if errors.Is(err, platform.ErrNotModified) {
			c.loop.Post(func(now time.Time) {
				if known := c.tracker.List(); known != nil {
					c.onList(now, *known, asked)
				}
			})
			continue
		}
		if err != nil {
			pause(ctx, retryWait)
			continue
		}
		since = max(since, int64(list.Revision))
		c.loop.Post(func(now time.Time) { c.onList(now, list, asked) })
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Package leafgroups describes the stand-in upstreams of a run: the leaves to run
// and the configuration files that list them for the query tier. The standin
// command uses it; it is not part of the product.
package leafgroups

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path"
	"path/filepath"
	"strconv"

	"ryecourse.example/ryecourse/internal/standin/leaf"
)

// File is the description of all stand-in upstreams of a run.
type File struct {
	Seed uint64 `json:"seed"`
	// AttemptLogLimit is the maximum number of attempts that each leaf logs.
	AttemptLogLimit int `json:"truth_limit"`
	// Secrets are strings that must not reach an upstream.
	Secrets []string `json:"secrets"`
	Groups  []Group  `json:"groups"`
}

// Group is the leaves of one service. Each shard has a replica for each entry
// of Zones; the replicas have consecutive ports.
type Group struct {
	Service   string `json:"service"`
	Prefix    string `json:"prefix"`
	Shards    int    `json:"shards"`
	Host      string `json:"host"`
	FirstPort int    `json:"first_port"`
	// Zones has an entry for each replica of a shard.
	Zones []string `json:"zones"`
	// Snapshot is the first index version. Empty means a service without snapshots.
	Snapshot    string      `json:"snapshot"`
	DeadlineMS  int         `json:"deadline_ms"`
	Idempotent  bool        `json:"idempotent"`
	Open        bool        `json:"open"`
	SingleShard bool        `json:"single_shard"`
	Policy      leaf.Policy `json:"policy"`
}

// Load reads and checks a description.
func Load(file string) (*File, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	var f File
	if err := json.Unmarshal(content, &f); err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	for _, g := range f.Groups {
		if g.Shards < 1 || len(g.Zones) < 1 || g.FirstPort < 1 {
			return nil, &FileError{File: file, Err: fmt.Errorf("group %q lacks shards, zones or first_port", g.Service)}
		}
	}
	return &f, nil
}

// Leaves returns the leaves whose IDs match one of the patterns, or all leaves
// if there are no patterns. A leaf's seed doesn't depend on the patterns.
func (f *File) Leaves(patterns []string) []leaf.Config {
	var out []leaf.Config
	for _, g := range f.Groups {
		for shard := range g.Shards {
			for replica := range g.Zones {
				c := g.leafConfig(shard, replica)
				c.Seed = f.Seed<<20 + uint64(len(out))
				c.AttemptLogLimit = f.AttemptLogLimit
				c.Secrets = f.Secrets
				out = append(out, c)
			}
		}
	}
	return filterByID(out, patterns)
}

func filterByID(all []leaf.Config, patterns []string) []leaf.Config {
	if len(patterns) == 0 {
		return all
	}
	var out []leaf.Config
	for _, c := range all {
		for _, p := range patterns {
			if matched, err := path.Match(p, c.ID); err == nil && matched {
				out = append(out, c)
				break
			}
		}
	}
	return out
}

func (g *Group) leafConfig(shard, replica int) leaf.Config {
	c := leaf.Config{
		ID:      g.upstreamID(shard, replica),
		Address: g.address(shard, replica),
		Zone:    g.Zones[replica],
		Service: g.Service,
		Shard:   shard,
		Policy:  g.Policy,
	}
	if g.Snapshot != "" {
		c.Snapshots = []leaf.Snapshot{{ID: g.Snapshot, Shards: g.Shards}}
	}
	return c
}

// upstreamID is PREFIX-SHARD-LETTER, with a letter for each replica.
func (g *Group) upstreamID(shard, replica int) string {
	prefix := g.Prefix
	if prefix == "" {
		prefix = g.Service
	}
	return fmt.Sprintf("%s-%d-%c", prefix, shard, 'a'+replica)
}

func (g *Group) address(shard, replica int) string {
	host := g.Host
	if host == "" {
		host = "127.0.0.1"
	}
	return net.JoinHostPort(host, strconv.Itoa(g.FirstPort+shard*len(g.Zones)+replica))
}

// FileError reports a description that can't be used.
type FileError struct {
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// WriteConfigFiles writes a file 20-SERVICE.json for each group.
func (f *File) WriteConfigFiles(dir string) error {
	for _, g := range f.Groups {
		content, err := json.MarshalIndent(g.configFile(), "", "  ")
		if err != nil {
			return err
		}
		name := filepath.Join(dir, "20-"+g.Service+".json")
		if err := os.WriteFile(name, append(content, '\n'), 0o644); err != nil {
			return err
		}
	}
	return nil
}

type configFile struct {
	Services map[string]serviceEntry `json:"services"`
}

type serviceEntry struct {
	Shards        [][]upstreamEntry `json:"shards"`
	Slots         int               `json:"slots"`
	Connections   int               `json:"connections"`
	ConnectCostMS float64           `json:"connect_cost_ms"`
	DeadlineMS    int               `json:"deadline_ms"`
	Idempotent    bool              `json:"idempotent"`
	Open          bool              `json:"open"`
	SingleShard   bool              `json:"single_shard"`
	Snapshots     bool              `json:"snapshots"`
	ColdPermits   int               `json:"cold_permits"`
}

type upstreamEntry struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Draining bool   `json:"draining"`
}

func (g *Group) configFile() configFile {
	e := serviceEntry{
		Slots:         g.Policy.Slots,
		Connections:   g.Policy.Connections,
		ConnectCostMS: g.Policy.ConnectCostMS,
		DeadlineMS:    g.DeadlineMS,
		Idempotent:    g.Idempotent,
		Open:          g.Open,
		SingleShard:   g.SingleShard,
		Snapshots:     g.Snapshot != "",
		ColdPermits:   max(g.Policy.ColdPermits, 1),
	}
	for shard := range g.Shards {
		var replicas []upstreamEntry
		for replica, zone := range g.Zones {
			replicas = append(replicas, upstreamEntry{
				ID:      g.upstreamID(shard, replica),
				Address: g.address(shard, replica),
				Zone:    zone,
			})
		}
		e.Shards = append(e.Shards, replicas)
	}
	return configFile{Services: map[string]serviceEntry{g.Service: e}}
}

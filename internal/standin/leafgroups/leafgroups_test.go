package leafgroups

import (
	"os"
	"path/filepath"
	"testing"

	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/standin/leaf"
)

func testFile() *File {
	return &File{
		Seed:            3,
		AttemptLogLimit: 10,
		Groups: []Group{
			{
				Service: "proof-studio", Prefix: "ps", Shards: 2, FirstPort: 7501, Zones: []string{"cz-a", "cz-b"},
				Snapshot: "s1", DeadlineMS: 500, Idempotent: true,
				Policy: leaf.Policy{Slots: 3, Connections: 30, ConnectCostMS: 6},
			},
			{
				Service: "order-desk", Shards: 1, FirstPort: 7541, Zones: []string{"cz-a"}, DeadlineMS: 500, SingleShard: true,
				Policy: leaf.Policy{Slots: 2, Connections: 110, ConnectCostMS: 1},
			},
		},
	}
}

// TestConfigFilesMatchLeaves builds a catalog from the written files and
// compares its upstreams with the leaves.
func TestConfigFilesMatchLeaves(t *testing.T) {
	f := testFile()
	dir := t.TempDir()
	if err := f.WriteConfigFiles(dir); err != nil {
		t.Fatal(err)
	}
	var files []catalog.File
	for _, name := range []string{"20-order-desk.json", "20-proof-studio.json"} {
		content, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, catalog.File{Name: name, Revision: 1, Content: content})
	}
	zones := []byte(`{"zones": {"cz-a": {"out": false}, "cz-b": {"out": false}}}`)
	files = append(files, catalog.File{Name: "30-zones.json", Revision: 1, Content: zones})
	c, problems := catalog.Build(1, files)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	upstreams := 0
	for _, s := range c.Services {
		for _, shard := range s.Shards {
			upstreams += len(shard.Replicas)
		}
	}
	leaves := f.Leaves(nil)
	if upstreams != len(leaves) || len(leaves) != 5 {
		t.Fatalf("%d upstreams configured, %d leaves", upstreams, len(leaves))
	}
	for _, l := range leaves {
		u := findUpstream(c, l)
		if u == nil || u.Address != l.Address || u.Zone != l.Zone {
			t.Errorf("%s: configured as %+v, listens on %s in %s", l.ID, u, l.Address, l.Zone)
		}
	}
}

func findUpstream(c *catalog.Catalog, l leaf.Config) *catalog.Upstream {
	replicas := c.Services[l.Service].Shards[l.Shard].Replicas
	for i := range replicas {
		if replicas[i].ID == l.ID {
			return &replicas[i]
		}
	}
	return nil
}

func TestSelectedLeavesKeepTheirSeeds(t *testing.T) {
	f := testFile()
	seeds := make(map[string]uint64)
	for _, l := range f.Leaves(nil) {
		for other, seed := range seeds {
			if seed == l.Seed {
				t.Errorf("%s and %s have the same seed", l.ID, other)
			}
		}
		seeds[l.ID] = l.Seed
	}
	selected := f.Leaves([]string{"*-b", "order-desk-0-a"})
	if len(selected) != 3 {
		t.Fatalf("%d leaves, want 3", len(selected))
	}
	for _, l := range selected {
		if l.Seed != seeds[l.ID] {
			t.Errorf("%s: seed %d, want %d", l.ID, l.Seed, seeds[l.ID])
		}
	}
}

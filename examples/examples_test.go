// Package examples holds example folders of configuration and their tests.
package examples

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"ryecourse.example/ryecourse/internal/cli/configcmd"
	"ryecourse.example/ryecourse/internal/core/catalog"
	"ryecourse.example/ryecourse/internal/core/keys"
)

// serviceSize is the expected size and settings of one service of an example.
type serviceSize struct {
	shards, replicas, slots, connections int
	idempotent, singleShard, open        bool
}

var examples = map[string]map[string]serviceSize{
	"vysivka": {
		"proof-studio":     {shards: 10, replicas: 3, slots: 3, connections: 30, idempotent: true},
		"buyer-portal":     {shards: 15, replicas: 3, slots: 3, connections: 30, idempotent: true},
		"order-desk":       {shards: 1, replicas: 25, slots: 2, connections: 110, singleShard: true},
		"front-desk-kiosk": {shards: 1, replicas: 13, slots: 2, connections: 110, idempotent: true, singleShard: true},
	},
	"saebeboble": {
		"catalogue": {shards: 10, replicas: 3, slots: 2, connections: 25, idempotent: true},
		"donations": {shards: 15, replicas: 3, slots: 2, connections: 25, idempotent: true},
		"orders":    {shards: 1, replicas: 7, slots: 4, connections: 45, singleShard: true},
		"events":    {shards: 1, replicas: 4, slots: 4, connections: 45, idempotent: true, singleShard: true, open: true},
	},
}

func buildCatalog(t *testing.T, folder string) *catalog.Catalog {
	t.Helper()
	files, err := configcmd.ReadFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	c, problems := catalog.Build(1, files)
	for _, p := range problems {
		t.Error(p)
	}
	return c
}

func TestSizes(t *testing.T) {
	for folder, services := range examples {
		c := buildCatalog(t, folder)
		if len(c.Zones) != 4 || len(c.Customers) != 8 || len(c.Services) != len(services) {
			t.Errorf("%s: %d zones, %d customers, %d services", folder, len(c.Zones), len(c.Customers), len(c.Services))
		}
		for name, want := range services {
			s := c.Services[name]
			if s == nil {
				t.Errorf("%s: no service %s", folder, name)
				continue
			}
			got := serviceSize{
				shards: len(s.Shards), replicas: len(s.Shards[0].Replicas),
				slots: s.Slots, connections: s.Connections,
				idempotent: s.Idempotent, singleShard: s.SingleShard, open: s.Open,
			}
			if got != want {
				t.Errorf("%s: %s is %+v, want %+v", folder, name, got, want)
			}
			checkZones(t, c, s)
		}
	}
}

// checkZones requires that a shard's replicas are spread over as many zones as
// possible, so that the loss of one zone doesn't lose the shard.
func checkZones(t *testing.T, c *catalog.Catalog, s *catalog.Service) {
	t.Helper()
	for i, shard := range s.Shards {
		zones := make(map[string]bool)
		for _, u := range shard.Replicas {
			zones[u.Zone] = true
		}
		if want := min(len(shard.Replicas), len(c.Zones)); len(zones) != want {
			t.Errorf("%s: shard %d is in %d zones, want %d", s.Name, i, len(zones), want)
		}
	}
}

var demoKeyRow = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\|.*`(rye_[a-z2-7]+)` \\|$")

func TestDemoKeys(t *testing.T) {
	for folder := range examples {
		c := buildCatalog(t, folder)
		readme, err := os.ReadFile(filepath.Join(folder, "README.md"))
		if err != nil {
			t.Fatal(err)
		}
		rows := demoKeyRow.FindAllSubmatch(readme, -1)
		if len(rows) != len(c.Customers) {
			t.Errorf("%s: %d keys documented for %d customers", folder, len(rows), len(c.Customers))
		}
		for _, row := range rows {
			name, key := string(row[1]), string(row[2])
			customer := c.CustomerByKeyHash(keys.Hash(key))
			if !keys.WellFormed(key) || customer == nil || customer.Name != name {
				t.Errorf("%s: the key of %s doesn't work", folder, name)
			}
		}
	}
}

package metadatasync

import (
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/core/metadata"
	"ryecourse.example/ryecourse/internal/core/routetable"
)

// keyed returns a configuration with a customer, whose keys can be withdrawn.
func keyed(version, revision int64) metadata.Change {
	c := config(version, revision)
	c.Config.Customers = []routetable.Customer{{Name: "shop"}}
	return c
}

// TestStartIsConfirmedByAnotherVM guards against a VM that starts while the source has just come
// back from an older copy, and takes that for the newest configuration: it refuses keys until
// another VM has confirmed it or none can.
func TestStartIsConfirmedByAnotherVM(t *testing.T) {
	older := metadata.Batch{Full: true, Era: 1, Revision: 40, Age: 300 * time.Millisecond, Changes: []metadata.Change{keyed(8, 30)}}
	unconfirmed, lagging := older, older
	unconfirmed.Unconfirmed = true
	lagging.Age = time.Minute
	for name, test := range map[string]struct {
		peers       fakePeers
		wantVersion int64
		wantAsked   int
	}{
		"a VM that knows a newer version, of the era before": {fakePeers{fallback: "a", batch: older}, 8, 1},
		"a VM that knows the same":                           {fakePeers{fallback: "a", batch: metadata.Batch{Full: true, Era: 2, Changes: []metadata.Change{keyed(7, 5)}}}, 7, 1},
		"a VM that is starting, too":                         {fakePeers{fallback: "a", batch: unconfirmed}, 7, 1},
		"a VM that lags":                                     {fakePeers{fallback: "a", batch: lagging}, 7, 1},
		"a VM that doesn't reply":                            {fakePeers{fallback: "a", batch: older, failing: map[string]bool{"a": true}}, 7, 1},
		"no VM":                                              {fakePeers{}, 7, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFollower(t)
			f.policy.ConfirmTimeout = 10 * time.Millisecond
			f.confirmed.Store(false)
			f.peers.fallback, f.peers.batch, f.peers.failing = test.peers.fallback, test.peers.batch, test.peers.failing
			f.source.full = metadata.Batch{Full: true, Era: 2, Revision: 41, Changes: []metadata.Change{keyed(7, 10)}}
			if err := f.read(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.expectAge(t, unknownAge)
			if b, ok := f.ChangesSince(metadata.Position{}); !ok || !b.Unconfirmed || b.Age != 0 {
				t.Errorf("the changes for other VMs are %+v, %v", b, ok)
			}
			f.confirm(t.Context())
			f.confirm(t.Context())
			f.expectAge(t, 0)
			if got := f.View().Table.Config.Version; got != test.wantVersion || len(f.peers.called) != test.wantAsked {
				t.Errorf("version %d after calls of %v, want %d", got, f.peers.called, test.wantVersion)
			}
			if b, _ := f.ChangesSince(metadata.Position{}); b.Unconfirmed {
				t.Error("the VM doesn't confirm to others")
			}
			f.source.changes = metadata.Batch{Era: 2, Revision: 42, Changes: []metadata.Change{keyed(7, 42)}}
			f.read(t.Context())
			if got := f.View().Table.Config.Version; got != test.wantVersion {
				t.Errorf("version %d after the copy is read again", got)
			}
			f.source.changes = metadata.Batch{Era: 2, Revision: 43, Changes: []metadata.Change{keyed(9, 43)}}
			f.read(t.Context())
			if got := f.View().Table.Config.Version; got != 9 {
				t.Errorf("version %d after the next one is written", got)
			}
		})
	}
}

// TestConfigurationWithoutKeysNeedsNoConfirmation checks that public routes don't wait.
func TestConfigurationWithoutKeysNeedsNoConfirmation(t *testing.T) {
	f := newFollower(t)
	f.policy.ConfirmTimeout = time.Hour
	f.confirmed.Store(false)
	if err := f.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.expectAge(t, 0)
}

package servedaemon

import (
	"io"
	"testing"
	"time"

	"ryecourse.example/ryecourse/internal/audit"
	"ryecourse.example/ryecourse/internal/peer"
	"ryecourse.example/ryecourse/internal/settings"
)

// TestRefusedMessagesDoNotEvictAuditEntries reports more refusals than the trail
// holds and requires that an earlier entry is still there.
func TestRefusedMessagesDoNotEvictAuditEntries(t *testing.T) {
	s := settings.Default()
	s.VM, s.Fleet, s.Platform = "vm-1", "cz", []string{"http://127.0.0.1:1"}
	d, err := New(&s, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	d.trail.Add(audit.Entry{Kind: "config_accepted"})
	for range audit.Capacity + 1 {
		d.onPeerRefusal(peer.Refusal{Address: "127.0.0.1:1", Reason: "wrong proof"})
	}
	all := d.trail.Since(0)
	if all[0].Kind != "config_accepted" {
		t.Fatalf("the oldest of %d entries is %+v", len(all), all[0])
	}
}

func TestRefusalLimiterRefills(t *testing.T) {
	var b refusalLimiter
	now := time.Unix(1, 0)
	for range refusalBurst {
		if ok, _ := b.allow(now); !ok {
			t.Fatal("a refusal within the burst was suppressed")
		}
	}
	if ok, _ := b.allow(now); ok {
		t.Fatal("a refusal beyond the burst was allowed")
	}
	ok, suppressed := b.allow(now.Add(refusalInterval))
	if !ok || suppressed != 1 {
		t.Fatalf("after the interval: %t, %d suppressed", ok, suppressed)
	}
}

package load

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	goodKey            = "rk_good"
	unknownKey         = "rk_unknown"
	operationsPerTrial = 5
)

// trial is a run of operationsPerTrial operations against a naive tier.
type trial struct {
	flaw    flaw
	cold    bool
	unknown bool
	events  string
}

// run returns the faults that the checker found, in the order of the summary.
func (tr trial) run(t *testing.T) string {
	t.Helper()
	upstreams, control := startUpstreams(t, tr.cold, goodKey)
	tier := &naiveTier{upstreams: upstreams, keys: map[string]bool{goodKey: true}, flaw: tr.flaw}
	daemon := tier.start(t)
	events := filepath.Join(t.TempDir(), "events")
	lines := strings.ReplaceAll(tr.events, "ADDR", daemon)
	if err := os.WriteFile(events, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg := &Config{
		Daemons:     []string{daemon},
		Controls:    []string{control},
		Events:      events,
		Services:    []Service{{Name: "orders", Shards: 2, DeadlineMS: 5000}},
		Customers:   []Customer{{Name: "buyers", Key: goodKey, Weight: 1}},
		GraceMS:     1,
		MinAnswered: 1,
	}
	if tr.unknown {
		cfg.Customers[0] = Customer{Name: "intruder", Key: unknownKey, Unknown: true, Weight: 1}
		cfg.MinAnswered = 0
	}
	g := newGenerator(cfg)
	for range operationsPerTrial {
		g.runOperation(&cfg.Services[0])
	}
	report, err := check(cfg, g.requests)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[Fault]bool)
	for _, f := range report.Findings {
		found[f.Fault] = true
		t.Logf("%s: %s", f.Fault, f.Detail)
	}
	var names []string
	for _, f := range faults {
		if found[f] {
			names = append(names, string(f))
		}
	}
	return strings.Join(names, " ")
}

// TestCheckerFindsEachFlaw runs the checker against tiers and event histories with
// one flaw each, and without any.
func TestCheckerFindsEachFlaw(t *testing.T) {
	for _, test := range []struct {
		trial
		want string
	}{
		{trial{flaw: flawNone}, ""},
		{trial{flaw: flawNone, cold: true}, ""},
		{trial{flaw: flawPreviousAnswer}, "wrong"},
		{trial{flaw: flawMixedSnapshots}, "wrong false_label"},
		{trial{flaw: flawDroppedShard}, "wrong"},
		{trial{flaw: flawHiddenShard}, "wrong"},
		{trial{flaw: flawInventedResult}, "false_label"},
		{trial{flaw: flawFalseNotRun}, "false_label repeated too_few_answered"},
		{trial{flaw: flawNoVerdict}, "false_label too_few_answered"},
		{trial{flaw: flawSendsTwice}, "repeated"},
		{trial{flaw: flawForwardsKey}, "secret"},
		{trial{flaw: flawRefusesKeys}, "good_key_refused too_few_answered"},
		{trial{flaw: flawClosesConnection}, "cut too_few_answered"},
		{trial{flaw: flawClosesConnection, events: "1000 pause ADDR\n2000 resume ADDR\n"}, "cut too_few_answered"},
		{trial{flaw: flawClosesConnection, events: "1000 kill ADDR\n"}, "too_few_answered"},
		{trial{flaw: flawRefusesAll}, "too_few_answered"},
		{trial{flaw: flawSendsParallel, cold: true}, "repeated overruns"},
		{trial{flaw: flawNone, unknown: true}, "too_few_answered"},
		{trial{flaw: flawAcceptsEveryKey, unknown: true}, "bad_key_accepted too_few_answered"},
		{trial{flaw: flawNone, events: "1000 withdraw buyers\n"}, "bad_key_accepted too_few_answered"},
		{trial{flaw: flawNone, events: "1000 zone-out cz-a\n"}, "after_zone_out"},
		{trial{flaw: flawNone, events: "1000 zone-out cz-a\n2000 zone-in cz-a\n"}, ""},
		{trial{flaw: flawNone, events: "1000 zone-out cz-b\n"}, ""},
	} {
		t.Run(string(test.flaw)+" "+strings.TrimSpace(test.events), func(t *testing.T) {
			t.Parallel()
			if got := test.run(t); got != test.want {
				t.Errorf("faults %q, want %q", got, test.want)
			}
		})
	}
}

// TestPausesOverlapRequests gives a daemon one pause from 100 ms to 200 ms.
func TestPausesOverlapRequests(t *testing.T) {
	h := history{events: []Event{
		{At: time.UnixMilli(100), Kind: EventPause, Argument: "d"},
		{At: time.UnixMilli(200), Kind: EventResume, Argument: "d"},
	}}
	for _, test := range []struct {
		from, to int64
		want     bool
	}{
		{0, 50, false}, {50, 150, true}, {150, 160, true}, {150, 250, true}, {50, 250, true}, {210, 250, false},
	} {
		if got := h.paused("d", time.UnixMilli(test.from), time.UnixMilli(test.to)); got != test.want {
			t.Errorf("%d to %d: %v, want %v", test.from, test.to, got, test.want)
		}
	}
	if h.paused("other", time.UnixMilli(150), time.UnixMilli(160)) {
		t.Error("another daemon's pause counts")
	}
}

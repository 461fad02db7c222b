package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"ryecourse.example/ryecourse/internal/core/invariant"
)

func TestAcceptorAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		draw := func() []byte {
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				return nil
			}
			return []byte(drawContent(t))
		}
		if err := runRandomHistory(policy{}, 40, choose, draw); err != nil {
			t.Fatal(err)
		}
	})
	if v := invariant.Violations(); len(v) > 0 {
		t.Fatalf("violated: %v", v)
	}
}

// TestNaivePolicies disables one mechanism at a time and requires that the
// oracle detects it.
func TestNaivePolicies(t *testing.T) {
	contents := []string{
		`{"zones":{"a":{"out":false}}}`,
		`{"zones":{"b":{}},"customers":{"c":{"rate":1,"burst":1}}}`,
		`{"zones":`,
	}
	tests := map[string]policy{
		"older versions are accepted":         {resetState: true},
		"earlier revisions are not passed on": {dropPrior: true},
		"absences of files are not passed on": {dropAbsences: true},
	}
	for name, p := range tests {
		const runs = 100
		failed := 0
		for seed := range uint64(runs) {
			rng := rand.New(rand.NewPCG(seed, 1))
			draw := func() []byte {
				if rng.IntN(3) == 0 {
					return nil
				}
				return []byte(contents[rng.IntN(len(contents))])
			}
			if runRandomHistory(p, 60, rng.IntN, draw) != nil {
				failed++
			}
		}
		t.Logf("%s: %d of %d runs differ from the oracle", name, failed, runs)
		if failed == 0 {
			t.Errorf("%s: the oracle detected nothing", name)
		}
	}
}

// TestWholeFolderAcceptanceDelaysRevocation shows why files are accepted
// individually: if only folders without any problem were accepted, one invalid
// file would keep a revoked key active.
func TestWholeFolderAcceptanceDelaysRevocation(t *testing.T) {
	hash := strings.Repeat("a", 64)
	h := newHistory()
	h.publish("10.json", []byte(`{"customers":{"c":{"rate":1,"burst":1}}}`))
	h.publish("20.json", []byte(`{"customers":{"c":{"key_hashes":["`+hash+`"]}}}`))
	h.publish("30.json", []byte(`{`))
	h.publish("20.json", nil)

	var wholeFolder *Catalog
	a := NewAcceptor()
	for _, v := range h.versions {
		o := v.offer()
		a.Offer(o)
		if c, problems := Build(v.version, o.Files); len(problems) == 0 {
			wholeFolder = c
		}
	}
	if wholeFolder.CustomerByKeyHash(hash) == nil {
		t.Error("whole-folder acceptance revoked the key: this comparison proves nothing")
	}
	if a.Catalog().CustomerByKeyHash(hash) != nil {
		t.Error("the revoked key is still active")
	}
}

// TestAccept runs the tables in testdata/accept. "publish" writes files (the
// content "deleted" deletes one). "read" offers a daemon a version from the
// service, "pull" offers it a peer's version. "key" prints whether a key is active.
func TestAccept(t *testing.T) {
	datadriven.Walk(t, "testdata/accept", func(t *testing.T, path string) {
		h := newHistory()
		daemons := make(map[string]*Acceptor)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "publish" {
				for _, p := range parseFolder(t, d.Input) {
					content := p.Content
					if strings.TrimSpace(string(content)) == "deleted" {
						content = nil
					}
					h.publish(p.Name, content)
				}
				return fmt.Sprintf("version %d\n", h.newest().version)
			}
			name := d.CmdArgs[0].Key
			if daemons[name] == nil {
				daemons[name] = NewAcceptor()
			}
			switch d.Cmd {
			case "read":
				v := len(h.versions) - 1
				d.MaybeScanArgs(t, "version", &v)
				o := h.versions[v].offer()
				if d.HasArg("no-contents") {
					o.Files = nil
				}
				return renderDecision(daemons[name].Offer(o))
			case "key":
				hash := strings.Repeat(d.CmdArgs[1].Key, 64)
				cat := daemons[name].Catalog()
				return fmt.Sprintf("active %v, unconfirmed %v\n", cat.CustomerByKeyHash(hash) != nil, cat.KeyUnconfirmed(hash))
			case "pull":
				from := d.CmdArgs[1].Key
				set := daemons[from].Files()
				return renderDecision(daemons[name].Offer(Offer{
					Version: set.Version, Index: set.Index, Files: set.MissingFrom(daemons[name].Files().Revisions()),
					Source: Source{Kind: FromPeer, Peer: from},
				}))
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func renderDecision(d Decision) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%v version %d from %v\n", d.Outcome, d.Version, d.Source)
	for _, id := range d.Missing {
		fmt.Fprintf(&out, "missing %s at %d\n", id.Name, id.Revision)
	}
	for _, f := range d.Files {
		fmt.Fprintf(&out, "file %s: %d -> %d, published %d, newest rejected %v\n", f.Name, f.From, f.To, f.Published, f.NewestRejected())
	}
	for _, p := range d.Problems {
		label := "problem"
		if slices.Contains(d.NewProblems, p) {
			label = "new problem"
		}
		fmt.Fprintf(&out, "%s %s\n", label, p.Error())
	}
	for _, c := range d.Changes {
		fmt.Fprintln(&out, c)
	}
	return out.String()
}

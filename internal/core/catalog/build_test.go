package catalog

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var fileHeader = regexp.MustCompile(`(?m)^-- (\S+)(?: @(\d+))? --\n`)

// parseFolder parses "-- NAME [@REVISION] --" sections. HASH(x) is replaced by a
// well-formed digest, and SPACES(n) by n spaces.
func parseFolder(t testing.TB, input string) []File {
	input = regexp.MustCompile(`HASH\((\w)\)`).ReplaceAllStringFunc(input, func(s string) string {
		return strings.Repeat(s[5:6], 64)
	})
	input = regexp.MustCompile(`SPACES\(\d+\)`).ReplaceAllStringFunc(input, func(s string) string {
		var n int
		if _, err := fmt.Sscanf(s, "SPACES(%d)", &n); err != nil {
			t.Fatal(err)
		}
		return strings.Repeat(" ", n)
	})
	var files []File
	at := fileHeader.FindAllStringSubmatchIndex(input, -1)
	for i, m := range at {
		end := len(input)
		if i+1 < len(at) {
			end = at[i+1][0]
		}
		p := File{Name: input[m[2]:m[3]], Content: []byte(input[m[1]:end])}
		if m[4] >= 0 {
			fmt.Sscan(input[m[4]:m[5]], &p.Revision)
		}
		files = append(files, p)
	}
	return files
}

func render(c *Catalog, problems []Problem) string {
	var out strings.Builder
	for _, p := range problems {
		fmt.Fprintf(&out, "%v %v\n", p.Effect, p)
	}
	for _, change := range Diff(nil, c) {
		fmt.Fprintln(&out, change)
	}
	return out.String()
}

func TestBuild(t *testing.T) {
	datadriven.Walk(t, "testdata/build", func(t *testing.T, path string) {
		var before *Catalog
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "build":
				return render(Build(1, parseFolder(t, d.Input)))
			case "before":
				before, _ = Build(1, parseFolder(t, d.Input))
				return ""
			case "diff":
				after, _ := Build(2, parseFolder(t, d.Input))
				var out strings.Builder
				for _, change := range Diff(before, after) {
					fmt.Fprintln(&out, change)
				}
				return out.String()
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

// checkCanonical requires that the canonical JSON builds to the same catalog
// without an invalid file.
func checkCanonical(t interface{ Fatalf(string, ...any) }, c *Catalog) {
	merged, err := c.CanonicalJSON()
	if err != nil {
		t.Fatalf("canonical JSON: %v", err)
	}
	rebuilt, problems := Build(c.Version, []File{{Name: "m.json", Content: merged}})
	for _, p := range problems {
		if strings.HasSuffix(p.Message, "at least 1 entry") {
			return // All replicas of a shard were rejected as duplicates.
		}
		if p.Effect == RejectsFile {
			t.Fatalf("the canonical JSON is invalid: %v\n%s", p, merged)
		}
	}
	if rebuilt.Digest != c.Digest {
		t.Fatalf("the canonical JSON builds to another catalog\n%s", merged)
	}
}

// TestBuildIgnoresFileOrder requires the same catalog and the same problems for
// every order in which a folder's files are passed.
func TestBuildIgnoresFileOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := drawFolder(t)
		want, wantProblems := Build(7, files)
		shuffled := rapid.Permutation(files).Draw(t, "order")
		got, gotProblems := Build(7, shuffled)
		if got.Digest != want.Digest {
			t.Fatalf("digest depends on the order")
		}
		if fmt.Sprint(gotProblems) != fmt.Sprint(wantProblems) {
			t.Fatalf("problems depend on the order:\n%v\n%v", wantProblems, gotProblems)
		}
		checkCanonical(t, want)
	})
}

func FuzzBuild(f *testing.F) {
	f.Add([]byte(`{"customers":{"a":{"rate":1,"burst":2,"key_hashes":["`+strings.Repeat("a", 64)+`"]}}}`), []byte(`{"zones":{"z":{"out":true}}}`))
	f.Add([]byte(`{"services":{"s":{"shards":[[{"id":"u","address":"127.0.0.1:1","zone":"z"}]],"slots":1,"connections":1,"deadline_ms":5}}}`), []byte(`{"upstreams":{"u":{"draining":true}}}`))
	f.Add([]byte(`{"zones":{"z":{},"z":{}}}`), []byte(`{}x`))
	f.Add([]byte(`{"services":{"s":{"shards":[[]],"slots":1e400}}`), []byte("\xef\xbb\xbf{}"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		files := []File{{Name: "a.json", Content: bytes.Clone(a)}, {Name: "b.json", Content: bytes.Clone(b)}}
		c, problems := Build(1, files)
		for _, p := range problems {
			if p.File == "" || p.Message == "" {
				t.Fatalf("a problem without file or message: %+v", p)
			}
		}
		checkCanonical(t, c)
	})
}

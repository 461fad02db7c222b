package keys

import (
	"bytes"
	"fmt"
	"net/url"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const testKey = "rye_abcdefghijklmnopqrstuvwxyz234567abcdefghijklmnopqrst"

func TestNew(t *testing.T) {
	key, err := New(bytes.NewReader(make([]byte, secretBytes)))
	if err != nil || !WellFormed(key) || len(key) != Length {
		t.Fatalf("key %q, error %v", key, err)
	}
	if _, err := New(strings.NewReader("short")); err == nil {
		t.Fatal("New returned a key from a short source of randomness")
	}
}

func TestTables(t *testing.T) {
	datadriven.RunTest(t, "testdata/keys", func(t *testing.T, d *datadriven.TestData) string {
		input := strings.ReplaceAll(d.Input, "KEY", testKey)
		switch d.Cmd {
		case "hash":
			return Hash(input)
		case "wellformed":
			return fmt.Sprint(WellFormed(input))
		case "carries":
			key := testKey
			d.MaybeScanArgs(t, "key", &key)
			return fmt.Sprint(Carries([]byte(input), key))
		}
		t.Fatalf("unknown command %q", d.Cmd)
		return ""
	})
}

// escapeAll encodes every byte of s as a percent escape.
func escapeAll(s string) string {
	var out strings.Builder
	for i := range len(s) {
		fmt.Fprintf(&out, "%%%02x", s[i])
	}
	return out.String()
}

func TestCarriesEscaped(t *testing.T) {
	once := escapeAll(testKey)
	twice := url.QueryEscape(once)
	for _, data := range []string{once, twice, url.QueryEscape(twice), strings.ToUpper(once)} {
		if !Carries([]byte("/a?b="+data+"&c"), testKey) {
			t.Errorf("not detected: %s", data)
		}
	}
	var json strings.Builder
	for i := range len(testKey) {
		fmt.Fprintf(&json, `\u%04X`, testKey[i])
	}
	if !Carries([]byte(`{"q":"`+json.String()+`"}`), testKey) {
		t.Error("not detected in JSON escapes")
	}
}

// TestNaiveDetector checks that a plain search misses an escaped key, so that
// TestCarriesEscaped would fail without decoding.
func TestNaiveDetector(t *testing.T) {
	if bytes.Contains([]byte(escapeAll(testKey)), []byte(testKey)) {
		t.Fatal("a plain search finds an escaped key: TestCarriesEscaped would pass without decoding")
	}
}

func FuzzCarries(f *testing.F) {
	f.Add([]byte("/v1/query?x="), []byte("&y=%zz%2"))
	f.Fuzz(func(t *testing.T, before, after []byte) {
		data := append(append(bytes.Clone(before), ' '), testKey...)
		data = append(data, ' ')
		data = append(data, after...)
		if !Carries(data, testKey) {
			t.Fatalf("not detected in %q", data)
		}
	})
}

func BenchmarkCarries(b *testing.B) {
	body := []byte(`{"query":"` + strings.Repeat("robe monogram ", 70) + `"}`)
	b.ReportAllocs()
	for b.Loop() {
		if Carries(body, testKey) {
			b.Fatal("Carries reports a key in text without one")
		}
	}
}

package capacity

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	line := Fit([]Point{{10, 25}, {100, 205}, {1000, 2005}})
	if math.Abs(line.Base-5) > 1e-6 || math.Abs(line.PerUnit-2) > 1e-9 {
		t.Fatalf("got %+v, want 5 + 2x", line)
	}
	if got := line.At(2000); math.Abs(got-4005) > 1e-6 {
		t.Fatalf("got %v at 2000, want 4005", got)
	}
	if line := Fit([]Point{{7, 3}}); line != (Line{Base: 3}) {
		t.Fatalf("one point gives %+v, want a constant", line)
	}
	if line := Fit([]Point{{10, 1}, {20, 30}}); line.Base != 0 || line.PerUnit <= 0 {
		t.Fatalf("a negative base gives %+v, want a line through the origin", line)
	}
}

func TestParse(t *testing.T) {
	const text = "$ go test -bench X ./pkg\ngoos: linux\n" +
		"BenchmarkX/vms=9/upstreams=30/other_zone-10   100  1200 ns/op  3.5 MiB-held\nPASS\n"
	results, err := Parse(strings.NewReader(text))
	if err != nil || len(results) != 1 {
		t.Fatal(results, err)
	}
	r := results[0]
	if r.Name != "BenchmarkX" || r.Variant != "other_zone" || r.Params["vms"] != 9 || r.Params["upstreams"] != 30 ||
		r.Metrics["ns/op"] != 1200 || r.Metrics["MiB-held"] != 3.5 || r.Command != "go test -bench X ./pkg" {
		t.Fatalf("got %+v", r)
	}
}

func TestParseRefuses(t *testing.T) {
	for _, text := range []string{"BenchmarkX 100 ns/op", "BenchmarkX/vms=many 100 1 ns/op", "BenchmarkX 100 few ns/op"} {
		var parse *ParseError
		if _, err := Parse(strings.NewReader(text)); !errors.As(err, &parse) {
			t.Errorf("%q: got %v, want a ParseError", text, err)
		}
	}
}

// TestPlannedLoad checks the load of one daemon against figures worked out by hand.
func TestPlannedLoad(t *testing.T) {
	f := Planned()
	if got := f.QueriesPerDaemon(); math.Abs(got-1047.62) > 0.01 {
		t.Errorf("%v queries/s a daemon", got)
	}
	if got := f.AttemptsPerDaemon(); math.Abs(got-136190.5) > 0.1 {
		t.Errorf("%v upstream requests/s a daemon", got)
	}
	if got := f.ActiveCustomers(); math.Abs(got-1384.4) > 1 {
		t.Errorf("%v active customers", got)
	}
	if got := f.ListChangesPerSecond(); math.Abs(got-0.8565) > 0.001 {
		t.Errorf("%v VM lists/s", got)
	}
	if got := f.ConfigChangesPerSecond(); math.Abs(got-0.1157) > 0.001 {
		t.Errorf("%v changes/s", got)
	}
}

package capacity

import (
	"errors"
	"math"
	"os"
	"strings"
	"testing"
)

func load(t *testing.T) *Slopes {
	t.Helper()
	s, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestMeasurementsParse requires at least three points for each slope with a size.
func TestMeasurementsParse(t *testing.T) {
	for _, s := range load(t).All {
		if s.Param != "" && len(s.Points) < 3 {
			t.Errorf("%s has %d points", s.ID, len(s.Points))
		}
		if s.Command == "" || s.Mechanism == "" {
			t.Errorf("%s names no command or no mechanism", s.ID)
		}
	}
}

// TestPageIsCurrent fails if the tables of the page differ from those computed from
// the measurements.
func TestPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	want, err := Insert(string(page), Tables(load(t)))
	if err != nil {
		t.Fatal(err)
	}
	if want != string(page) {
		t.Fatal("the tables are outdated: run go run ./cmd/capacity -write docs/CAPACITY.md")
	}
}

func TestInsert(t *testing.T) {
	tables := []Table{{Name: "a", Header: []string{"x"}, Rows: [][]string{{"1"}}}}
	const page = "before\n<!-- table a -->\nold\n<!-- end -->\nafter\n"
	got, err := Insert(page, tables)
	if err != nil || strings.Contains(got, "old") || !strings.Contains(got, "| x |\n| --- |\n| 1 |\n") {
		t.Fatalf("got %q, %v", got, err)
	}
	if again, _ := Insert(got, tables); again != got {
		t.Fatalf("a second time gives %q", again)
	}
	var place *MissingMarkerError
	if _, err := Insert("no place", tables); !errors.As(err, &place) {
		t.Fatalf("got %v, want a MissingMarkerError", err)
	}
}

func slopeOf(points ...Point) Slope {
	return Slope{Source: Source{Param: "x"}, Points: points, Line: Fit(points)}
}

func TestSlopeAt(t *testing.T) {
	s := slopeOf(Point{10, 100}, Point{100, 1000}, Point{1000, 10000})
	for x, want := range map[float64]float64{10: 100, 55: 550, 100: 1000, 550: 5500, 2000: 20000, 5: 50} {
		if got := s.At(x); math.Abs(got-want) > 1e-6 {
			t.Errorf("%v at %v, want %v", got, x, want)
		}
	}
	falling := slopeOf(Point{1, 9}, Point{10, 6}, Point{100, 3})
	if got := falling.At(1000); got != 3 {
		t.Errorf("a falling slope gives %v beyond its points, want 3", got)
	}
}

// TestNothingIsNegative checks every duty of every fleet for negative costs.
func TestNothingIsNegative(t *testing.T) {
	s := load(t)
	for _, f := range []Fleet{Today(), Planned(), Region()} {
		m := NewModel(s, f)
		for _, d := range append(m.Duties(), m.Witness(), m.Reader()) {
			if d.MessagesPerSecond < 0 || d.BytesPerSecond < 0 || d.Cores < 0 || d.MemoryBytes < 0 {
				t.Errorf("%s: %+v", f.Name, d)
			}
		}
	}
}

// TestControlSums checks that the control total is the sum of the duties that are
// not traffic.
func TestControlSums(t *testing.T) {
	m := NewModel(load(t), Planned())
	var bytes float64
	for _, d := range m.Duties() {
		if !d.Traffic {
			bytes += d.BytesPerSecond
		}
	}
	if got := m.Control().BytesPerSecond; math.Abs(got-bytes) > 1e-6*bytes {
		t.Fatalf("control sends %v bytes/s, its duties %v", got, bytes)
	}
}

// TestListChangeByHand checks the cost of a VM list change against a separate
// calculation from the slopes.
func TestListChangeByHand(t *testing.T) {
	s := load(t)
	m := NewModel(s, Planned())
	copies := s.at("list-copies", 2100)
	want := copies*(s.constant("call-sent")+s.at("change-answered", 1)) +
		(s.at("list-msgs", 2100)/2-copies)*m.exchange().bytes
	if got := m.listChange().bytes; math.Abs(got-want) > 1e-6*want {
		t.Fatalf("got %v bytes, want %v", got, want)
	}
}

// TestBottlenecksAreOrdered checks that bottlenecks are sorted by descending ratio
// and have a target.
func TestBottlenecksAreOrdered(t *testing.T) {
	last := math.Inf(1)
	for _, b := range NewModel(load(t), Planned()).Bottlenecks() {
		if b.Target <= 0 || b.Ratio() > last || b.Ratio() <= 0 {
			t.Errorf("%s: %v of %v", b.Name, b.Value, b.Target)
		}
		last = b.Ratio()
	}
}

package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// Source identifies a measured cost in the benchmarks' output, and the code that
// causes it.
type Source struct {
	ID string
	// Package, Benchmark and Unit select the values. Param is the parameter
	// that they depend on. It is empty for a constant.
	Package, Benchmark, Unit, Param string
	// Where and Variant, if set, select lines by parameters and by variant.
	Where   map[string]float64
	Variant string
	// Mechanism names the code that causes the cost.
	Mechanism string
}

// Slope is a Source with its measured points.
type Slope struct {
	Source
	Command string
	Points  []Point
	Line    Line
}

// MissingError reports a Source without measured points.
type MissingError struct{ Source Source }

// Error implements error.
func (e *MissingError) Error() string {
	s := e.Source
	return fmt.Sprintf("slope %s: no result of %s %s with the unit %q and the parameter %q", s.ID, s.Package, s.Benchmark, s.Unit, s.Param)
}

// NewSlope collects the points of a Source from results and fits a line to them.
// It returns a MissingError if there are none.
func NewSlope(s Source, results []Result) (Slope, error) {
	out := Slope{Source: s}
	for _, r := range results {
		if r.Package != s.Package || r.Name != s.Benchmark || r.Variant != s.Variant || !matches(r, s.Where) {
			continue
		}
		y, ok := r.Metrics[s.Unit]
		x, sized := r.Params[s.Param]
		if !ok || s.Param != "" && !sized {
			continue
		}
		out.Command = r.Command
		out.Points = append(out.Points, Point{X: x, Y: y})
	}
	if len(out.Points) == 0 {
		return Slope{}, &MissingError{Source: s}
	}
	slices.SortFunc(out.Points, func(a, b Point) int { return cmp.Compare(a.X, b.X) })
	out.Line = Fit(out.Points)
	return out, nil
}

func matches(r Result, where map[string]float64) bool {
	for key, value := range where {
		if r.Params[key] != value {
			return false
		}
	}
	return true
}

// At returns the cost at a size. It interpolates linearly between the two nearest
// points within the measured range, and extrapolates with the fitted slope outside
// it. Above the range a negative slope, which noise can give, counts as zero; below
// it the cost is at least zero.
func (s *Slope) At(x float64) float64 {
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	switch {
	case s.Param == "":
		return s.Line.Base
	case x <= first.X:
		return max(first.Y-s.Line.PerUnit*(first.X-x), 0)
	case x >= last.X:
		return last.Y + max(s.Line.PerUnit, 0)*(x-last.X)
	}
	i := slices.IndexFunc(s.Points, func(p Point) bool { return p.X >= x })
	a, b := s.Points[i-1], s.Points[i]
	return a.Y + (b.Y-a.Y)*(x-a.X)/(b.X-a.X)
}

// Measured reports whether the size is at most the largest measured one. A constant
// is measured at every size.
func (s *Slope) Measured(x float64) bool {
	return s.Param == "" || x <= s.Points[len(s.Points)-1].X
}

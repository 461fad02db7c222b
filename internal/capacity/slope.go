package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// Source names one measured cost and the mechanism that carries it.
type Source struct {
	ID string
	// Package, Benchmark and Unit find the values; Param is the size that they
	// depend on, or empty.
	Package, Benchmark, Unit, Param string
	// Where and Variant select lines further.
	Where   map[string]float64
	Variant string
	// Mechanism names what carries the cost, in the code.
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
	return fmt.Sprintf("slope %s: no line of %s %s with %q by %q", s.ID, s.Package, s.Benchmark, s.Unit, s.Param)
}

// NewSlope finds the points of a Source among results.
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

// At returns the cost at a size: between the two nearest points within the
// measured range, and along the fitted slope beyond it. A slope that falls, which
// noise can give, is taken as flat there.
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

// Measured reports whether the size lies within the measured range.
func (s *Slope) Measured(x float64) bool {
	return s.Param == "" || x <= s.Points[len(s.Points)-1].X
}

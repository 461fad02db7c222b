package capacity

// Point is a measured value Y at the size X.
type Point struct{ X, Y float64 }

// Line is a cost that is linear in the size.
type Line struct{ Base, PerUnit float64 }

// At returns the cost at a size.
func (l Line) At(x float64) float64 { return l.Base + l.PerUnit*x }

// Fit returns the least-squares line through the points. One point gives a
// constant. If noise gives a negative base, Fit returns the least-squares line
// through the origin instead.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var x, y, xx, xy float64
	for _, p := range points {
		x += p.X
		y += p.Y
		xx += p.X * p.X
		xy += p.X * p.Y
	}
	denominator := n*xx - x*x
	if denominator == 0 {
		return Line{Base: y / n}
	}
	slope := (n*xy - x*y) / denominator
	base := (y - slope*x) / n
	if base < 0 {
		return Line{PerUnit: xy / xx}
	}
	return Line{Base: base, PerUnit: slope}
}

package slope

import "math"

// Fit returns the least-squares line through the points; a single size yields a slope of 0.
func Fit(name, size, unit string, points []Point) Slope {
	s := Slope{
		Name:   name,
		Size:   size,
		Unit:   unit,
		Points: points,
	}
	n := float64(len(points))
	if n == 0 {
		return s
	}
	var x, y float64
	for _, p := range points {
		x += p.Size / n
		y += p.Value / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.Size - x) * (p.Size - x)
		xy += (p.Size - x) * (p.Value - y)
	}
	if xx > 0 {
		s.Slope = xy / xx
	}
	s.Intercept = y - s.Slope*x
	var square float64
	for _, p := range points {
		d := p.Value - s.Intercept - s.Slope*p.Size
		square += d * d / n
	}
	s.Residual = math.Sqrt(square)

	return s
}

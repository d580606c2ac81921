package soak

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Plot draws the outcomes of attempts for each second, and the start times of faults. The file's
// extension selects the format: png or svg.
func Plot(file string, r *Report) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d: %d violations", r.Seed, len(r.Violations))
	p.X.Label.Text, p.Y.Label.Text = "seconds", "attempts a second"
	p.Legend.Top = true
	for _, curve := range []struct {
		name  string
		color color.Color
		of    func(Second) int
	}{
		{"served", color.RGBA{R: 40, G: 130, B: 60, A: 255}, func(s Second) int { return s.Served }},
		{"refused", color.RGBA{R: 220, G: 150, B: 30, A: 255}, func(s Second) int { return s.Refused }},
		{"failed", color.RGBA{R: 190, G: 40, B: 40, A: 255}, func(s Second) int { return s.Failed }},
	} {
		points := make(plotter.XYs, len(r.Seconds))
		for i, s := range r.Seconds {
			points[i] = plotter.XY{X: float64(i), Y: float64(curve.of(s))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = curve.color
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	faults := make(plotter.XYs, len(r.Actions))
	for i, a := range r.Actions {
		faults[i] = plotter.XY{X: a.At.Seconds()}
	}
	if len(faults) > 0 {
		marks, err := plotter.NewScatter(faults)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		p.Add(marks)
		p.Legend.Add("faults", marks)
	}
	if err := p.Save(10*vg.Inch, 4*vg.Inch, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

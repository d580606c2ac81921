package experiment

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// measure is a value of a report that gets a panel of the plot.
type measure struct {
	title string
	value func(*Report) float64
}

var measures = []measure{
	{"late + failed, per 1,000 sent", func(r *Report) float64 { return 1000 * float64(r.Late+r.Failed) / float64(max(1, r.Sent)) }},
	{"tokens recomputed, per 1,000 of prompt", func(r *Report) float64 { return 1000 * float64(r.TokensRecomputed) / float64(max(1, r.TokensPrompt)) }},
	{"first token, p95, ms", func(r *Report) float64 { return r.TTFT.P95 }},
	{"cost per 1,000 on time", func(r *Report) float64 { return r.CostPer1000OnTime }},
}

const (
	panelWidth  = 9 * vg.Inch
	panelHeight = 3 * vg.Inch
	barWidth    = 0.35 * vg.Inch
	labelAngle  = 0.35 // radians
	barMargin   = 0.7  // space beside the first and the last bar, in bar distances
)

// ReadReports reads files that hold one JSON report each.
func ReadReports(files []string) ([]*Report, error) {
	var out []*Report
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, fmt.Errorf("report: %w", err)
		}
		var r Report
		if err := json.Unmarshal(b, &r); err != nil {
			return nil, fmt.Errorf("report %s: %w", filepath.Base(f), err)
		}
		out = append(out, &r)
	}
	return out, nil
}

// Plot writes a PNG file with one bar chart per measure, in which each report
// has a bar.
func Plot(file string, reports []*Report) error {
	var labels []string
	for _, r := range reports {
		labels = append(labels, strings.Join([]string{r.Deployment, r.Scenario, r.Policy, fmt.Sprint(r.Seed)}, " "))
	}
	img := vgimg.New(panelWidth, panelHeight*vg.Length(len(measures)))
	canvas := draw.New(img)
	tiles := draw.Tiles{Rows: len(measures), Cols: 1, PadX: vg.Millimeter, PadY: 4 * vg.Millimeter}
	for i, m := range measures {
		p, err := newPanel(m, reports, labels)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(canvas, 0, i))
	}
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	defer f.Close()
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

func newPanel(m measure, reports []*Report, labels []string) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = m.title
	values := make(plotter.Values, len(reports))
	for i, r := range reports {
		values[i] = m.value(r)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return nil, fmt.Errorf("plot %s: %w", m.title, err)
	}
	bars.Color = color.RGBA{R: 60, G: 110, B: 170, A: 255}
	p.Add(plotter.NewGrid(), bars)
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = labelAngle
	p.X.Tick.Label.XAlign = draw.XRight
	p.X.Min, p.X.Max = -barMargin, float64(len(reports)-1)+barMargin
	p.Y.Min = 0
	return p, nil
}

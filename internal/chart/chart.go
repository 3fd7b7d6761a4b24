// Package chart draws bar and line charts as SVG files. The commands of cmd/eiderhold use it for
// their reports.
package chart

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is a named sequence of values. X holds the horizontal positions in a line chart; bar
// charts do not use it.
type Series struct {
	Name string
	X, Y []float64
}

const maxLabels = 60 // approximate limit per axis; of more, only every k-th is drawn

// Bars writes a grouped bar chart to file: for each name, one bar per series.
func Bars(file, title, unit string, names []string, series ...Series) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, unit
	p.Legend.Top = true
	width := vg.Points(max(1.5, min(14, 700/float64(max(1, len(names)*len(series))))))
	for i, s := range series {
		b, err := plotter.NewBarChart(plotter.Values(s.Y), width)
		if err != nil {
			return fmt.Errorf("chart: %s: %s: %w", file, s.Name, err)
		}
		b.Color, b.LineStyle.Width = plotutil.Color(i), 0
		b.Offset = width * vg.Length(float64(i)-float64(len(series)-1)/2)
		p.Add(b)
		p.Legend.Add(s.Name, b)
	}
	shown := make([]string, len(names))
	step := 1 + len(names)/maxLabels
	for i := range names {
		if i%step == 0 {
			shown[i] = names[i]
		}
	}
	p.NominalX(shown...)
	p.X.Tick.Label.Rotation = 0.9
	p.X.Tick.Label.XAlign = -1
	p.Y.Min, p.Y.Max = min(0, p.Y.Min), 1.25*p.Y.Max // leaves room for the legend
	p.X.Min, p.X.Max = -0.7, float64(len(names))-0.3
	return save(p, file)
}

// Lines writes a line chart to file, one line per series.
func Lines(file, title, x, y string, series ...Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range series {
		xy := make(plotter.XYs, len(s.Y))
		for k := range s.Y {
			xy[k] = plotter.XY{X: s.X[k], Y: s.Y[k]}
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("chart: %s: %s: %w", file, s.Name, err)
		}
		l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(s.Name, l)
	}
	p.Y.Min, p.Y.Max = min(0, p.Y.Min), max(1e-3, 1.15*p.Y.Max)
	return save(p, file)
}

// save writes p to file as SVG and creates the folder if necessary.
func save(p *plot.Plot, file string) error {
	if strings.ToLower(filepath.Ext(file)) != ".svg" {
		return fmt.Errorf("chart: %s: expected a file name ending in .svg", file)
	}
	p.BackgroundColor = color.White
	p.Title.Padding, p.X.Padding, p.Legend.XOffs = vg.Points(8), vg.Points(4), -vg.Points(10)
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if err := p.Save(9*vg.Inch, 4.5*vg.Inch, file); err != nil {
		return fmt.Errorf("chart: %s: %w", file, err)
	}
	return nil
}

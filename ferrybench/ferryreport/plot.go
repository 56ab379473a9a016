package ferryreport

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"cactusferry.dev/ferrybench/ferryexperiment"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

var lineColors = []color.Color{
	color.RGBA{R: 200, G: 80, B: 40, A: 255},
	color.RGBA{R: 30, G: 100, B: 180, A: 255},
	color.RGBA{R: 120, G: 120, B: 120, A: 255},
}

// Plot writes PNG plots over time to dir: throughput and time to the first token of all results, and the
// outstanding work per runner of the last result.
func Plot(dir, name string, rs []*ferryexperiment.Result) error {
	if err := plotThroughput(filepath.Join(dir, name+"-throughput.png"), name, rs); err != nil {
		return err
	}
	if err := plotFirstToken(filepath.Join(dir, name+"-first-token.png"), name, rs); err != nil {
		return err
	}
	return plotOutstanding(filepath.Join(dir, name+"-outstanding.png"), name, rs[len(rs)-1])
}

func plotThroughput(path, name string, rs []*ferryexperiment.Result) error {
	p := newPlot(name+": work served", "work, share of the bound")
	for i, r := range rs {
		n := r.Policy.Name
		if err := addLine(p, n, lineColors[i%len(lineColors)], points(r, func(s *ferryexperiment.Second) float64 { return s.Served / r.Bound })); err != nil {
			return err
		}
	}
	last := rs[len(rs)-1]
	offered := points(last, func(s *ferryexperiment.Second) float64 { return s.Offered / last.Bound })
	if err := addLine(p, "offered", lineColors[2], offered); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func plotFirstToken(path, name string, rs []*ferryexperiment.Result) error {
	p := newPlot(name+": first token of short work by second of arrival", "p99, s")
	for i, r := range rs {
		line := points(r, func(s *ferryexperiment.Second) float64 { return s.FirstP99.Seconds() })
		if err := addLine(p, r.Policy.Name, lineColors[i%len(lineColors)], line); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func plotOutstanding(path, name string, r *ferryexperiment.Result) error {
	p := newPlot(fmt.Sprintf("%s: outstanding work of each runner (%s)", name, r.Policy.Name), "tokens")
	p.Legend = plot.NewLegend()
	if len(r.Seconds) == 0 {
		return p.Save(plotWidth, plotHeight, path)
	}
	for u := range r.Seconds[0].Outstanding {
		line := points(r, func(s *ferryexperiment.Second) float64 {
			if u < len(s.Outstanding) {
				return s.Outstanding[u]
			}
			return 0
		})
		if err := addLine(p, "", lineColors[u%len(lineColors)], line); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

func points(r *ferryexperiment.Result, y func(*ferryexperiment.Second) float64) plotter.XYs {
	out := make(plotter.XYs, len(r.Seconds))
	for i := range r.Seconds {
		out[i].X, out[i].Y = float64(i), y(&r.Seconds[i])
	}
	return out
}

func addLine(p *plot.Plot, name string, c color.Color, xys plotter.XYs) error {
	if len(xys) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	l.Color = c
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

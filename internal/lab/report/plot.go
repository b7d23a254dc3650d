package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

var (
	green  = color.NRGBA{0x2e, 0x8b, 0x57, 0xff}
	amber  = color.NRGBA{0xd9, 0x9a, 0x1c, 0xff}
	blue   = color.NRGBA{0x3b, 0x6f, 0xb6, 0xff}
	red    = color.NRGBA{0xc0, 0x39, 0x2b, 0xff}
	shaded = color.NRGBA{0x88, 0x88, 0x88, 0x38}
)

const (
	plotWidth     = 24 * vg.Centimeter
	plotHeight    = 7 * vg.Centimeter
	minFaultWidth = 0.15 // seconds; the least width of a fault on a plot
)

// line is one series over the seconds of a run.
type line struct {
	name  string
	color color.Color
	value func(Second) float64
}

// plotServed plots the share of operations with each outcome.
func (f Figures) plotServed() (*plot.Plot, error) {
	return f.overTime("share of operations, by the second in which they were due", 1, []line{
		{"served in time", green, func(s Second) float64 { return s.Served() }},
		{"late", amber, func(s Second) float64 { return s.share(s.Late) }},
		{"refused", blue, func(s Second) float64 { return s.share(s.Refused) }},
		{"failed", red, func(s Second) float64 { return s.share(s.Failed) }},
	})
}

// plotLatency plots the latencies of served operations.
func (f Figures) plotLatency() (*plot.Plot, error) {
	return f.overTime("time from due to answer, ms", 0, []line{
		{"median", green, func(s Second) float64 { return ms(s.P50) }},
		{"99th percentile", red, func(s Second) float64 { return ms(s.P99) }},
	})
}

// plotLoad plots the operations that were due per second.
func (f Figures) plotLoad() (*plot.Plot, error) {
	return f.overTime(
		"operations asked for in a second",
		0,
		[]line{{"asked for", blue, func(s Second) float64 { return float64(s.Asked) }}},
	)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// overTime plots lines over the seconds of the run, with the faults shaded. top is the upper end of the
// vertical axis: 1, or 0 to derive it from the data.
func (f Figures) overTime(title string, top float64, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "s"
	p.Y.Min, p.Y.Max = 0, top
	for _, l := range lines {
		for _, s := range f.Seconds {
			p.Y.Max = math.Max(p.Y.Max, 1.05*l.value(s)*(1-top))
		}
	}
	p.Y.Max = math.Max(p.Y.Max, 1e-3)
	p.X.Min, p.X.Max = 0, float64(max(1, len(f.Seconds)))
	for _, s := range f.Faults {
		from, to := s.From.Seconds(), math.Max(s.To.Seconds(), s.From.Seconds()+minFaultWidth)
		shading, err := plotter.NewPolygon(
			plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}},
		)
		if err != nil {
			return nil, err
		}
		shading.Color, shading.Width = shaded, 0
		p.Add(shading)
	}
	for _, l := range lines {
		var points plotter.XYs
		for _, s := range f.Seconds {
			points = append(points, plotter.XY{X: s.At.Seconds() + 0.5, Y: l.value(s)})
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		curve.Color, curve.Width = l.color, 1.5
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	// keep the legend clear of lines near 0 and of lines near 1
	p.Legend.Top, p.Legend.Left, p.Legend.YOffs = true, true, -1.6*vg.Centimeter
	return p, nil
}

// svg returns a plot as the content of an SVG file.
func svg(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// writePlots writes the plots of a run into its folder and returns their SVG elements for the page.
func (f Figures) writePlots(dir string) ([][]byte, error) {
	var elements [][]byte
	if len(f.Seconds) == 0 {
		return nil, nil
	}
	for _, p := range []struct {
		name string
		make func() (*plot.Plot, error)
	}{{"served", f.plotServed}, {"latency", f.plotLatency}, {"asked", f.plotLoad}} {
		rendered, err := p.make()
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", p.name, err)
		}
		text, err := svg(rendered)
		if err != nil {
			return nil, fmt.Errorf("plot %s: %w", p.name, err)
		}
		if err := os.WriteFile(filepath.Join(dir, p.name+".svg"), text, 0o644); err != nil {
			return nil, fmt.Errorf("plot %s: %w", p.name, err)
		}
		// drop the lines before the svg element, which only a separate file needs
		if _, body, ok := bytes.Cut(text, []byte("<svg")); ok {
			text = append([]byte("<svg"), body...)
		}
		elements = append(elements, text)
	}
	return elements, nil
}

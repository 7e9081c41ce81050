package load

import (
	"io"
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size of the images.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// legendRoom leaves space for the legend above the highest point.
const legendRoom = 1.25

// minPlotMS is the shortest latency drawn, since a logarithmic axis has no zero.
const minPlotMS = 0.01

// NoSamplesError says that a plot has nothing to draw.
type NoSamplesError struct{ Plot string }

// Error implements error.
func (e *NoSamplesError) Error() string { return "load: no samples for plot " + e.Plot }

// WriteCDF writes a PNG with the latency distribution of each result.
func WriteCDF(w io.Writer, title string, results ...*Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "latency from the intended arrival (ms)"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share of requests"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	drawn := false
	for i, r := range results {
		var points plotter.XYs
		for n, ms := range r.CDF {
			points = append(points, plotter.XY{X: math.Max(ms, minPlotMS), Y: float64(n) / float64(len(r.CDF)-1)})
		}
		if err := addLine(p, i, r.Plan.Name, points); err != nil {
			return err
		}
		drawn = drawn || len(points) > 0
	}
	if !drawn {
		return &NoSamplesError{"CDF"}
	}
	return writePNG(w, p)
}

// WriteSeries writes a PNG with requests per second above and latency below,
// both by arrival time.
func WriteSeries(w io.Writer, title string, r *Result) error {
	if r.Total.Offered == 0 {
		return &NoSamplesError{"series"}
	}
	rates, err := seriesPlot(r, title, "requests per second", []curve{
		{"offered", func(p Bucket) (float64, bool) { return rate(p, p.Summary.Offered), true }},
		{"good", func(p Bucket) (float64, bool) { return rate(p, p.Summary.Good), true }},
		{"refused", func(p Bucket) (float64, bool) { return rate(p, p.Summary.Refused), true }},
		{"failed", func(p Bucket) (float64, bool) { return rate(p, p.Summary.Failed), true }},
	})
	if err != nil {
		return err
	}
	latencies, err := seriesPlot(r, "", "latency (ms)", []curve{
		{"p50", func(p Bucket) (float64, bool) { return p.Summary.LatencyMS.P50, p.Summary.LatencyMS.Count > 0 }},
		{"p99", func(p Bucket) (float64, bool) { return p.Summary.LatencyMS.P99, p.Summary.LatencyMS.Count > 0 }},
	})
	if err != nil {
		return err
	}
	return writePNG(w, rates, latencies)
}

// curve is one line of a time series; of reports false for points without a
// value.
type curve struct {
	name string
	of   func(Bucket) (float64, bool)
}

func rate(p Bucket, n int) float64 {
	if p.WidthMS <= 0 {
		return 0
	}
	return float64(n) * 1000 / p.WidthMS
}

func seriesPlot(r *Result, title, label string, curves []curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "arrival (s)"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, c := range curves {
		var points plotter.XYs
		for _, point := range r.Series {
			if y, ok := c.of(point); ok {
				points = append(points, plotter.XY{X: (point.FromMS + point.WidthMS/2) / 1000, Y: y})
			}
		}
		if err := addLine(p, i, c.name, points); err != nil {
			return nil, err
		}
	}
	p.Y.Max *= legendRoom
	return p, nil
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.WithStack(err)
	}
	line.Color = plotutil.Color(i)
	line.Dashes = plotutil.Dashes(i)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// writePNG draws the plots below each other.
func writePNG(w io.Writer, plots ...*plot.Plot) error {
	image := vgimg.New(plotWidth, plotHeight*vg.Length(len(plots)))
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadX: vg.Millimeter, PadY: vg.Millimeter * 4}
	grid := make([][]*plot.Plot, 0, len(plots))
	for _, p := range plots {
		grid = append(grid, []*plot.Plot{p})
	}
	for i, row := range plot.Align(grid, tiles, draw.New(image)) {
		plots[i].Draw(row[0])
	}
	_, err := vgimg.PngCanvas{Canvas: image}.WriteTo(w)
	return errors.WithStack(err)
}

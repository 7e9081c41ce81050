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

// legendHeadroom is the factor by which the y axis exceeds the highest point, to make
// room for the legend.
const legendHeadroom = 1.25

// minPlotMS is the lowest latency that is drawn, since a logarithmic axis has no zero.
const minPlotMS = 0.01

// NoSamplesError reports that the results hold no samples for a plot.
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

// WriteSeries writes a PNG with two plots by arrival time: requests per second, and
// below it latency.
func WriteSeries(w io.Writer, title string, r *Result) error {
	if r.Total.Offered == 0 {
		return &NoSamplesError{"series"}
	}
	rates, err := seriesPlot(r, title, "requests per second", []curve{
		{"offered", func(b Bucket) (float64, bool) { return rate(b, b.Summary.Offered), true }},
		{"good", func(b Bucket) (float64, bool) { return rate(b, b.Summary.Good), true }},
		{"refused", func(b Bucket) (float64, bool) { return rate(b, b.Summary.Refused), true }},
		{"failed", func(b Bucket) (float64, bool) { return rate(b, b.Summary.Failed), true }},
	})
	if err != nil {
		return err
	}
	latencies, err := seriesPlot(r, "", "latency (ms)", []curve{
		{"p50", func(b Bucket) (float64, bool) { return b.Summary.LatencyMS.P50, b.Summary.LatencyMS.Count > 0 }},
		{"p99", func(b Bucket) (float64, bool) { return b.Summary.LatencyMS.P99, b.Summary.LatencyMS.Count > 0 }},
	})
	if err != nil {
		return err
	}
	return writePNG(w, rates, latencies)
}

// curve is one line of a time series. value reports false for buckets without a value.
type curve struct {
	name  string
	value func(Bucket) (float64, bool)
}

// rate returns n requests of a bucket as requests per second.
func rate(b Bucket, n int) float64 {
	if b.WidthMS <= 0 {
		return 0
	}
	return float64(n) * 1000 / b.WidthMS
}

// seriesPlot returns a plot of curves over the time series of a result.
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
		for _, b := range r.Series {
			if y, ok := c.value(b); ok {
				points = append(points, plotter.XY{X: (b.FromMS + b.WidthMS/2) / 1000, Y: y})
			}
		}
		if err := addLine(p, i, c.name, points); err != nil {
			return nil, err
		}
	}
	p.Y.Max *= legendHeadroom
	return p, nil
}

// addLine adds a line with its legend in the i-th color and dash pattern. Without
// points it adds nothing.
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

// writePNG writes a PNG with the plots one below the other.
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

package soak

import (
	"io"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// plot draws the requests of each second by outcome, and the faults that began in it.
func plot(w io.Writer, seconds []int, points []point) error {
	x := make([]float64, len(seconds))
	line := func(name string, value func(*point) int) chart.Series {
		y := make([]float64, len(points))
		for i := range points {
			x[i], y[i] = float64(seconds[i]), float64(value(&points[i]))
		}
		return chart.ContinuousSeries{Name: name, XValues: x, YValues: y}
	}
	c := chart.Chart{
		Width: 1200, Height: 400, XAxis: chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "requests a second"},
		Series: []chart.Series{
			line("in time", func(p *point) int { return p.served }),
			line("late", func(p *point) int { return p.late }),
			line("failed", func(p *point) int { return p.failed }),
			line("faults begun", func(p *point) int { return p.faults }),
		},
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return errors.Wrap(c.Render(chart.SVG, w), "plot")
}

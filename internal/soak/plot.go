package soak

import (
	"io"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// plot draws the requests of each second by outcome and the faults started in it, as SVG.
func plot(w io.Writer, seconds []int, stats []secondStats) error {
	x := make([]float64, len(seconds))
	newSeries := func(name string, value func(*secondStats) int) chart.Series {
		y := make([]float64, len(stats))
		for i := range stats {
			x[i], y[i] = float64(seconds[i]), float64(value(&stats[i]))
		}
		return chart.ContinuousSeries{Name: name, XValues: x, YValues: y}
	}
	graph := chart.Chart{
		Width: 1200, Height: 400, XAxis: chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "requests per second"},
		Series: []chart.Series{
			newSeries("in time", func(s *secondStats) int { return s.served }),
			newSeries("late", func(s *secondStats) int { return s.late }),
			newSeries("failed", func(s *secondStats) int { return s.failed }),
			newSeries("faults started", func(s *secondStats) int { return s.faults }),
		},
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return errors.Wrap(graph.Render(chart.SVG, w), "plot")
}

package tests

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/local"
)

// BenchmarkSlopeOpaque measures the control traffic of entries and agents for opaque flows at several sizes, a third of the
// processes entries, without callers.
func BenchmarkSlopeOpaque(b *testing.B) {
	for i, size := range []int{12, 48, 192} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			entries := size / 3
			opts := local.CheckOptions(binary, b.TempDir(), slotSlope+i)
			opts.Entries = entries
			for s := range opts.Services {
				opts.Services[s].Servers = entries
			}
			d, err := local.New(opts)
			if err != nil {
				b.Fatal(err)
			}
			defer d.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if err := d.Start(ctx); err != nil {
				b.Fatal(err)
			}
			const settle, span = 8 * time.Second, 5 * time.Second
			time.Sleep(settle)
			before := [2]float64{control(b, d.Entries), control(b, d.Agents)}
			time.Sleep(span)
			b.ReportMetric((control(b, d.Entries)-before[0])/span.Seconds()/float64(len(d.Entries)), "B/s/entry")
			b.ReportMetric((control(b, d.Agents)-before[1])/span.Seconds()/float64(len(d.Agents)), "B/s/agent")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// control returns the bytes of control messages that processes have sent and got.
func control(b *testing.B, ps []*local.Process) float64 {
	b.Helper()
	sum := 0.0
	for _, p := range ps {
		resp, err := http.Get(fmt.Sprintf("http://%s/metrics", p.Metrics()))
		if err != nil {
			b.Fatal(err)
		}
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			name, value, _ := strings.Cut(lines.Text(), " ")
			if name == "control.bytes_out" || name == "control.bytes_in" {
				n, err := strconv.ParseFloat(value, 64)
				if err != nil {
					b.Fatal(err)
				}
				sum += n
			}
		}
		_ = resp.Body.Close()
	}
	return sum
}

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

// BenchmarkSlopeOpaque measures the control traffic of entries and agents for opaque flows with several numbers of
// processes, a third of which are entries. There are no callers.
func BenchmarkSlopeOpaque(b *testing.B) {
	for i, size := range []int{12, 48, 192} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			entries := size / 3
			opts := local.CheckOptions(binary, b.TempDir(), slotSlope+i)
			opts.Entries = entries
			for s := range opts.Services {
				opts.Services[s].Servers = entries
			}
			deployment, err := local.New(opts)
			if err != nil {
				b.Fatal(err)
			}
			defer deployment.Close()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if err := deployment.Start(ctx); err != nil {
				b.Fatal(err)
			}
			const settle, window = 8 * time.Second, 5 * time.Second
			time.Sleep(settle)
			before := [2]float64{controlBytes(b, deployment.Entries), controlBytes(b, deployment.Agents)}
			time.Sleep(window)
			b.ReportMetric((controlBytes(b, deployment.Entries)-before[0])/window.Seconds()/float64(len(deployment.Entries)), "B/s/entry")
			b.ReportMetric((controlBytes(b, deployment.Agents)-before[1])/window.Seconds()/float64(len(deployment.Agents)), "B/s/agent")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// controlBytes returns the total bytes of control messages that the processes have sent and received.
func controlBytes(b *testing.B, processes []*local.Process) float64 {
	b.Helper()
	total := 0.0
	for _, p := range processes {
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
				total += n
			}
		}
		_ = resp.Body.Close()
	}
	return total
}

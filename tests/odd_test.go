package tests

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// Another writer has left odd items among the records of processes, beside the configuration and in the place of flow lists, and sends
// odd heartbeats. Guards against processes that end, that don't find each other, or that stop following the configuration.
func TestProcessesBesideOddWriter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	const service = "desk"
	d, err := local.New(local.Options{
		Entries: 3, Services: []local.Service{{Name: service, Servers: 2, Slots: 4}}, Slot: slotOdd, Binary: binary, Dir: t.TempDir(),
		ServiceTime: func(string) time.Duration { return time.Millisecond }, Watcher: local.NopWatcher{},
	})
	is.NoErr(err)
	defer d.Close()
	d.PutOddItems()
	// The first two entries, which are the seeds, don't run: the processes find each other in the directory only.
	entry := d.Entries[2]
	for _, p := range d.Agents {
		is.NoErr(p.Start())
		await(t, readyTimeout, p.Name+" is registered", func() bool { return d.Store.Value(d.RecordKey(p)) != nil })
	}
	is.NoErr(entry.Start())
	sendOddHeartbeats(ctx, t, d)
	for _, p := range d.Agents {
		is.NoErr(d.StartServer(p))
	}
	await(t, readyTimeout, "the entry is ready", entry.Ready)

	client, err := fakes.NewClient(fakes.ClientOptions{
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.251.1"), d.ClientPort()), Watcher: local.NopWatcher{},
		EntryFor: func(netip.AddrPort, netip.AddrPort) (netip.AddrPort, bool) {
			return netip.AddrPortFrom(entry.IP, d.ClientPort()), true
		},
	})
	is.NoErr(err)
	defer client.Close()
	running := append([]*local.Process{entry}, d.Agents...)
	for i := range uint64(3) {
		before := metric(t, entry, "config_version")
		is.NoErr(d.ChangeRoutes(rand.New(rand.NewPCG(1, i))))
		d.PutOddItems()
		sendOddHeartbeats(ctx, t, d)
		for _, p := range running {
			await(t, local.ApplyTimeout, "the configuration is in force at "+p.Name, func() bool { return metric(t, p, "config_version") != before })
		}
		f, err := client.Open(ctx, d.ServiceAddress(service))
		is.NoErr(err)
		answer, err := f.Do(ctx, "request")
		is.NoErr(err)
		is.True(strings.Contains(answer, service))
		f.Close()
	}
	for _, p := range running {
		is.Equal(p.UnexpectedExits(), 0)
		is.True(metric(t, p, "store.odd_items") != "")
	}
}

// sendOddHeartbeats sends all agents odd heartbeats, of which none may be acknowledged.
func sendOddHeartbeats(ctx context.Context, t *testing.T, d *local.Deployment) {
	t.Helper()
	for _, p := range d.Agents {
		acknowledged, err := d.SendOddHeartbeats(ctx, p)
		if err != nil || acknowledged > 0 {
			t.Fatalf("%s acknowledged %d odd heartbeats, error %v", p.Name, acknowledged, err)
		}
	}
}

// metric returns the value of a metric of a process, or "" if it has none of that name.
func metric(t *testing.T, p *local.Process, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + p.Metrics().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // The response has been read.
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return value
		}
	}
	return ""
}

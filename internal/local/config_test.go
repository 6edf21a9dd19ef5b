package local

import (
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// countingWatcher holds the number of routes of the latest configuration.
type countingWatcher struct {
	NopWatcher
	mu     sync.Mutex
	routes int
}

func (w *countingWatcher) Configured(routes []fakes.Route) {
	runtime.Gosched() // Lets another configuration overtake this one, if it can.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routes = len(routes)
}

// The watcher is told of concurrent configurations in the order in which they are made. Guards against false reports of processes
// that use an old configuration.
func TestConfigurationsAreReportedInOrder(t *testing.T) {
	is := is.New(t)
	for range 200 {
		w := new(countingWatcher)
		d := &Deployment{opts: Options{Watcher: w, Services: []Service{{Name: "desk"}}}, Store: fakes.NewStore(), serviceAddrs: map[string]netip.AddrPort{}}
		var writers sync.WaitGroup
		for i := range 8 {
			writers.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), 0))
				for range 4 {
					if err := d.ChangeRoutes(rng); err != nil {
						t.Error(err)
					}
				}
			})
		}
		writers.Wait()
		is.Equal(w.routes, len(d.extraRoutes)+1)
	}
}

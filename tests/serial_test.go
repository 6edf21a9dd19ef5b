package tests

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func newReader(text string) io.Reader { return strings.NewReader(text) }

// checkSerials checks that the serials reported by one instance, in order of time, never decrease.
func (r *recorder) checkSerials(instance string, serials []uint64) {
	highest := uint64(0)
	for _, s := range serials {
		if s < highest {
			r.addViolation("%s: serial decreased from %d to %d", instance, highest, s)
		}
		highest = max(highest, s)
	}
}

// serialWatcher polls the serial of a contract in force at each entry.
type serialWatcher struct {
	cluster *cluster
	name    string
	stop    chan struct{}
	wg      sync.WaitGroup

	mu sync.Mutex
	// seen has the serials that each entry reported, in order of time.
	seen map[string][]uint64
}

// watchSerials starts a watcher for a contract at all current entries.
func (c *cluster) watchSerials(name string) *serialWatcher {
	w := &serialWatcher{cluster: c, name: name, stop: make(chan struct{}), seen: map[string][]uint64{}}
	for _, e := range c.entries {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			w.run(e)
		}()
	}
	return w
}

// run polls an entry until the watcher is stopped. Polls without a serial are skipped.
func (w *serialWatcher) run(e *proc) {
	for {
		if serial := w.cluster.serialAt(e, w.name); serial != 0 {
			w.mu.Lock()
			w.seen[e.name] = append(w.seen[e.name], serial)
			w.mu.Unlock()
		}
		select {
		case <-w.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// finish stops the watcher and checks the serials of each entry.
func (w *serialWatcher) finish(rec *recorder) {
	close(w.stop)
	w.wg.Wait()
	for instance, serials := range w.seen {
		rec.checkSerials(instance, serials)
	}
}

// serialAt returns the serial of a contract in force at an entry, or 0 if there is none or the entry doesn't respond.
func (c *cluster) serialAt(e *proc, name string) uint64 {
	code, respBody := c.callAPI(e, http.MethodGet, "/v1/contracts/"+name, 0, nil)
	if code != http.StatusOK {
		return 0
	}
	var record struct{ Serial uint64 }
	_ = json.Unmarshal(respBody, &record) // A response without a serial gives 0.
	return record.Serial
}

// inForce reports whether a serial of a contract, or a later one, is in force at all entries and agents. instances is the
// number of those that must report, at least.
func (c *cluster) inForce(name string, serial uint64, instances int) bool {
	code, respBody := c.callAPI(c.entries[0], http.MethodGet, "/v1/contracts/"+name+"/status", 0, nil)
	if code != http.StatusOK {
		return false
	}
	var status struct{ Instances []struct{ Serial uint64 } }
	if err := json.Unmarshal(respBody, &status); err != nil || len(status.Instances) < instances {
		return false
	}
	for _, i := range status.Instances {
		if i.Serial < serial {
			return false
		}
	}
	return true
}

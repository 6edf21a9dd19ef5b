package tests

import (
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
)

// Guards against resets of open flows while a whole deployment is stopped, and its backend servers live on: entries that run longer than the
// agents find no holder.
func TestOpenFlowsSurviveStopOfAllProcesses(t *testing.T) {
	t.Parallel()
	signalAll := func(processes []*local.Process, s syscall.Signal, within time.Duration) {
		for _, n := range rand.Perm(len(processes)) {
			processes[n].Signal(s)
			time.Sleep(within / time.Duration(len(processes)))
		}
	}
	for _, c := range []struct {
		name string
		stop func(d *local.Deployment)
	}{
		{"all at once", func(d *local.Deployment) { signalAll(d.Processes(), syscall.SIGTERM, 0) }},
		{"agents first", func(d *local.Deployment) {
			signalAll(d.Agents, syscall.SIGTERM, 0)
			time.Sleep(3 * time.Second)
			signalAll(d.Entries, syscall.SIGTERM, 0)
		}},
		{"in random order", func(d *local.Deployment) { signalAll(d.Processes(), syscall.SIGTERM, 3*time.Second) }},
		{"killed in random order", func(d *local.Deployment) { signalAll(d.Processes(), syscall.SIGKILL, 3*time.Second) }},
		{"agents killed", func(d *local.Deployment) { signalAll(d.Agents, syscall.SIGKILL, 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			deployment, watcher, flows := startWatched(t, slotStopAll)
			go c.stop(deployment)
			time.Sleep(200 * time.Millisecond)
			_, lost := requestOnEach(flows, c.name)
			resets, strays := watcher.counts()
			t.Logf("%d flows, %d lost, %d open flows reset, %d with three or more packets at other servers and none at their own",
				len(flows), lost, resets, strays)
			is.Equal(resets, 0)
			is.Equal(strays, 0)
		})
	}
}

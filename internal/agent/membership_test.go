package agent

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
)

// TestConcurrentRepliesDontRestoreOlderContract guards against a reply with an older contract that replaces a newer one because
// both are merged into the same state.
func TestConcurrentRepliesDontRestoreOlderContract(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	record := a.service.get().record
	const replies = 20000
	var wg sync.WaitGroup
	wg.Go(func() {
		for range replies { // An entry that hasn't got the newer contracts.
			is.NoErr(a.applyReply(&ctrl.ServiceReply{Found: true, Record: record}))
		}
	})
	regressed := 0
	for i := range uint64(replies) {
		newer := record
		newer.Serial += i + 1
		is.NoErr(a.applyReply(&ctrl.ServiceReply{Found: true, Record: newer}))
		if a.service.get().record.Serial != newer.Serial {
			regressed++
		}
	}
	wg.Wait()
	is.Equal(regressed, 0)
	is.Equal(a.service.get().record.Serial, record.Serial+replies)
}

package relay

import (
	"testing"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/flow"
)

// Guards against the reset of an open flow by planned work: entries joined or left, and a later copy of the SYN opened the flow
// through another entry while this one held the first copy. If all copies arrive here, none opened it elsewhere.
func TestHeldSynIsRefusedOnlyIfNoCopyWentElsewhere(t *testing.T) {
	for _, copies := range []uint32{1, 3} {
		tr := newTestRelay(t)
		tr.cluster.agents = nil
		for i := range copies {
			tr.sendFromClient(byte(i+1), flow.Header{Syn: true, AckNumber: i})
		}
		tr.relay.held[key].since = time.Now().Add(-maxHoldTime)
		tr.relay.releaseHeld()
		tr.Equal(tr.receivesReset(), copies == 3)
	}
}

package relay

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against resets of a flow that the client has just opened, from the same port and through another entry, in reply to a late copy of the
// earlier flow's FIN or of its last acknowledgement: agents deny that one truly.
func TestLateFinOfEarlierFlowIsNotAnsweredByReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		h     flow.Header
		reset bool
	}{
		{"acknowledgement", flow.Header{Ack: true}, false},
		{"FIN", flow.Header{Ack: true, Fin: true}, false},
		{"data", flow.Header{Ack: true, Len: 100}, true},
		{"data and FIN", flow.Header{Ack: true, Fin: true, Len: 100}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := newTestRelay(t)
			tr.sendFromClient(1, c.h)
			tr.Equal(tr.receiveKind(tr.agentA), encap.ListFlows)
			tr.sendFromAgent(tr.agentA, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
			tr.sendFromAgent(tr.agentB, encap.Header{Kind: encap.QueryReply, Verdict: seek.Denied}, key)
			tr.Equal(tr.receivesReset(), c.reset)
		})
	}
}

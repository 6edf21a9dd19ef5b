package deliv

import (
	"testing"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/seek"
)

// Guards against an open flow whose packets all go to a server that doesn't hold it, through one entry after another: that server has ended an
// earlier flow with the key, which its agent may have from a saved list, and returns neither acknowledgements nor FINs.
func TestUnansweredPacketsAreReturned(t *testing.T) {
	for _, c := range []struct {
		saved  bool
		before seek.Verdict
	}{{true, seek.Opening}, {false, seek.Perhaps}} {
		env := newTestEnv(t, false)
		env.receiveHeartbeat(nil)
		if c.saved {
			env.restore()
		}
		fin := flow.Header{Ack: true, Fin: true, Seq: laterRequest.Seq, AckNumber: laterRequest.AckNumber}
		for i := range byte(maxBareInRow) {
			env.Equal(env.verdict(), c.before)
			env.receiveDatagram(encap.Header{Kind: encap.Probe}, 1+i, fin)
			env.Equal(env.read(env.server), []byte{1 + i})
			env.receiveFromServer(20+i, flow.Header{Ack: true, AckNumber: fin.Seq + 1}) // As on a flow that has ended.
		}
		env.Equal(env.verdict(), seek.Perhaps)
		env.receiveDatagram(encap.Header{Kind: encap.Probe}, 5, fin)
		env.Equal(env.readKind(env.entry), encap.Return)
		env.Equal(env.read(env.server), nil)
		env.receiveDatagram(encap.Header{Kind: encap.Probe}, 6, laterRequest)
		env.Equal(env.read(env.server), []byte{6}) // The server decides by its data.
		env.receiveFromServer(7, flow.Header{Ack: true, Seq: laterRequest.AckNumber, AckNumber: laterRequest.Seq + 100, Len: 50})
		env.Equal(env.verdict(), seek.Held)
	}
}

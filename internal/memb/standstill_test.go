package memb

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against resets of the flows of an agent whose process stands still, or is about to start, on an instance that lives: its
// kernel accepts or refuses connections at the control address, so that the backend server beside it may live.
func TestSilenceOfProcessOnLiveInstanceIsNotAFailure(t *testing.T) {
	for _, running := range []bool{true, false} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = ln.Close() }()
		g := newGroup(t, 4)
		g.agent.Control = ln.Addr().(*net.TCPAddr).AddrPort()
		g.agent.Epoch++
		for _, n := range g.entries {
			n.opts.Connector = TCPConnector{}
			g.heartbeat(n)
		}
		if !running {
			is.NoErr(ln.Close())
		}
		for _, n := range g.entries {
			silence(n)
		}
		is.True(!g.deadAtFirst(testPeriod))
	}
}

package deliv

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
	"github.com/bergamotrun/bergamotrun/internal/server"
)

// Each reset of an open flow must leave a line that names the flow, its state and the reason.
func TestResetsAreLoggedWithStateOfFlow(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t, true)
	core, logs := observer.New(zapcore.InfoLevel)
	env.agent.opts.FlowLog = zap.New(core)
	env.receiveHeartbeat(nil)
	env.receiveDatagram(encap.Header{Kind: encap.Open}, 1, flow.Header{Syn: true})
	env.receiveFromServer(2, flow.Header{Syn: true, Ack: true})
	env.receiveFromServer(3, flow.Header{Ack: true})
	env.ageFlows(time.Minute)
	env.receiveRestart(func(hb *server.Heartbeat) { hb.ID = "i-2" })
	entries := logs.FilterMessage("flow is lost").All()
	is.Equal(len(entries), 1)
	fields := entries[0].ContextMap()
	is.Equal(fields["flow"], flow.NewKey(client, service).String())
	is.Equal(fields["phase"], "open")
	is.Equal(fields["restarts"], int64(1))
	is.Equal(fields["reason"], "the server has started again")
	is.Equal(fields["reset"], true)
}

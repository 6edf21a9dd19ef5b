package load

import (
	"sync/atomic"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/agent"
	"github.com/bergamotrun/bergamotrun/internal/offer"
	"github.com/bergamotrun/bergamotrun/internal/steer"
)

// DefaultPolicy is the name of the policy that agents use in production.
const DefaultPolicy = "own"

// policies maps the name of each policy that can be measured to its constructor.
var policies = map[string]func() agent.Policy{
	DefaultPolicy: func() agent.Policy { return agent.Policy{} },
	// hash runs each request on the server where its flow was placed.
	"hash": func() agent.Policy { return agent.Policy{PassFlow: neverPassFlow, ChoosePeer: runLocally} },
	// rotate spreads requests over all servers round-robin, regardless of their load.
	"rotate": func() agent.Policy { return agent.Policy{PassFlow: neverPassFlow, ChoosePeer: rotatePeers()} },
}

func neverPassFlow(steer.Agent, steer.Agent, time.Duration) bool { return false }

func runLocally(offer.LocalState, []offer.Peer, time.Time, float64) (int, offer.Reason) {
	return -1, offer.RunLocally
}

func rotatePeers() func(offer.LocalState, []offer.Peer, time.Time, float64) (int, offer.Reason) {
	var next atomic.Uint64
	return func(_ offer.LocalState, peers []offer.Peer, _ time.Time, _ float64) (int, offer.Reason) {
		i := int(next.Add(1)) % (len(peers) + 1)
		if i == len(peers) {
			return -1, offer.RunLocally
		}
		return i, offer.Unavailable // The peer queues the request if it has no free slot.
	}
}

package load

import (
	"sync/atomic"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/agent"
	"github.com/bergamotrun/bergamotrun/internal/offer"
	"github.com/bergamotrun/bergamotrun/internal/steer"
)

// DefaultPolicy is the name of the system's own policy.
const DefaultPolicy = "own"

// policies are the policies that can be measured.
var policies = map[string]func() agent.Policy{
	DefaultPolicy: func() agent.Policy { return agent.Policy{} },
	// hash leaves each request where its flow was placed.
	"hash": func() agent.Policy { return agent.Policy{PassFlow: passNone, ChoosePeer: stay} },
	// rotate gives the requests of each flow to all servers in turn, whatever their load.
	"rotate": func() agent.Policy { return agent.Policy{PassFlow: passNone, ChoosePeer: rotate()} },
}

func passNone(steer.Agent, steer.Agent, time.Duration) bool { return false }

func stay(offer.LocalState, []offer.Peer, time.Time, float64) (int, offer.Reason) {
	return -1, offer.RunLocally
}

func rotate() func(offer.LocalState, []offer.Peer, time.Time, float64) (int, offer.Reason) {
	var next atomic.Uint64
	return func(_ offer.LocalState, peers []offer.Peer, _ time.Time, _ float64) (int, offer.Reason) {
		i := int(next.Add(1)) % (len(peers) + 1)
		if i == len(peers) {
			return -1, offer.RunLocally
		}
		return i, offer.Unavailable // The peer queues the request where it has no free slot.
	}
}

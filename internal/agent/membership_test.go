package agent

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

// TestKeysThatCantBeOpenedAreNotInForce guards against an agent that never fetches packet keys again after it once failed to
// open them.
func TestKeysThatCantBeOpenedAreNotInForce(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	sealed, err := a.opts.Secret.Seal(fleet.Key{Number: 1})
	is.NoErr(err)
	damaged := fleet.SealedKey{Number: 1, Box: []byte("damaged")}
	is.True(a.applyReply(&ctrl.ServiceReply{KeySerial: 7, Keys: journ.Keys{Sealed: []fleet.SealedKey{damaged}, Current: 1}}) != nil)
	is.Equal(a.service.get().keySerial, uint64(0))
	is.NoErr(a.applyReply(&ctrl.ServiceReply{KeySerial: 7, Keys: journ.Keys{Sealed: []fleet.SealedKey{sealed}, Current: 1}}))
	is.True(a.keys.Load() != nil)
	is.Equal(a.service.get().keySerial, uint64(7))
}

// TestReplyOfEntryWithoutContractKeepsPeers guards against requests that are refused though a peer has room: an entry that has just
// started and doesn't know the contract yet lists no agents.
func TestReplyOfEntryWithoutContractKeepsPeers(t *testing.T) {
	is := is.New(t)
	a, peer := newTestAgent(t, "http://127.0.0.1:1"), newTestAgent(t, "http://127.0.0.1:1")
	record := a.service.get().record
	is.NoErr(a.applyReply(&ctrl.ServiceReply{Found: true, Record: record, Members: []view.Record{peer.ownRecord()}, Hash: 5}))
	is.Equal(len(a.peers.reportTargets(false, time.Now())), 1)
	is.NoErr(a.applyReply(&ctrl.ServiceReply{}))
	is.Equal(len(a.peers.reportTargets(false, time.Now())), 1)
	is.Equal(a.service.get().agentsHash, uint64(5))
	is.NoErr(a.applyReply(&ctrl.ServiceReply{Found: true, Record: record, Hash: 6})) // An entry that knows that it has ended.
	is.Equal(len(a.peers.reportTargets(false, time.Now())), 0)
}

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

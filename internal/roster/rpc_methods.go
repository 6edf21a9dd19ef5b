package roster

import (
	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/journ"
)

// RPCMethods are the net/rpc methods that a Roster serves to other processes under the name Entry.
type RPCMethods struct{ roster *Roster }

// RPCMethods returns the net/rpc methods of the roster.
func (r *Roster) RPCMethods() *RPCMethods { return &RPCMethods{roster: r} }

// Journal returns the journal entries after a position, or a snapshot if this entry no longer holds all of them.
func (c *RPCMethods) Journal(args ctrl.JournalArgs, reply *ctrl.JournalReply) error {
	entries, ok := c.roster.opts.Journal.EntriesSince(args.Since)
	if ok {
		reply.Entries = entries
		return nil
	}
	snapshot := c.roster.opts.Journal.Snapshot()
	reply.Snapshot = &snapshot
	return nil
}

// Exchange returns the records in the buckets that differ from the caller's digest, and this entry's digest.
func (c *RPCMethods) Exchange(args ctrl.ExchangeArgs, reply *ctrl.ExchangeReply) error {
	c.roster.mu.Lock()
	defer c.roster.mu.Unlock()
	reply.Records = c.roster.view.Differing(args.Digest)
	reply.Digest = c.roster.view.Digest()
	return nil
}

// Offer merges the caller's records into the view.
func (c *RPCMethods) Offer(args ctrl.OfferArgs, reply *ctrl.OfferReply) error {
	reply.News = c.roster.merge(args.Records...)
	return nil
}

// maxReplyEntries limits the random entries that a reply to Service contains besides this one.
const maxReplyEntries = 16

// Service returns to an agent the contract of its service, the packet keys, the records of the service's agents and
// those of some entries.
func (c *RPCMethods) Service(args ctrl.ServiceArgs, reply *ctrl.ServiceReply) error {
	r := c.roster
	r.opts.Journal.View(func(s *journ.State) {
		reply.Record, reply.Found = s.Record(args.Service)
		reply.Keys = s.Keys()
		reply.KeySerial = s.KeySerial()
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Found {
		reply.Members = r.view.ServiceAgents(reply.Record.Number)
		reply.Gone = r.view.GoneAgents(reply.Record.Number)
		reply.Hash = r.view.ServiceHash(reply.Record.Number)
	}
	reply.Entries = append(reply.Entries, r.self)
	entryCount := r.view.EntryCount() // 0 if this entry has ended and knows no other.
	for i := 0; entryCount > 0 && i < maxReplyEntries; i++ {
		rec := r.view.EntryAt(r.rand.IntN(entryCount))
		if !containsProcess(reply.Entries, rec) {
			reply.Entries = append(reply.Entries, rec)
		}
	}
	return nil
}

package roster

import (
	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/journ"
)

// Calls are the methods that a roster offers to other processes by net/rpc, under the name Entry.
type Calls struct{ roster *Roster }

// Calls returns the roster's methods for other processes.
func (r *Roster) Calls() *Calls { return &Calls{roster: r} }

// Journal returns the journal after a position.
func (c *Calls) Journal(args ctrl.JournalArgs, reply *ctrl.JournalReply) error {
	entries, ok := c.roster.opts.Journal.EntriesSince(args.Since)
	if ok {
		reply.Entries = entries
		return nil
	}
	snap := c.roster.opts.Journal.Snapshot()
	reply.Snapshot = &snap
	return nil
}

// Exchange returns the records in which this entry differs from a digest.
func (c *Calls) Exchange(args ctrl.ExchangeArgs, reply *ctrl.ExchangeReply) error {
	c.roster.mu.Lock()
	defer c.roster.mu.Unlock()
	reply.Records = c.roster.view.Differing(args.Digest)
	reply.Digest = c.roster.view.Digest()
	return nil
}

// Offer takes records over.
func (c *Calls) Offer(args ctrl.OfferArgs, reply *ctrl.OfferReply) error {
	reply.News = c.roster.merge(args.Records...)
	return nil
}

// maxEntriesTold is how many entries an agent is told of.
const maxEntriesTold = 16

// Service returns what the agent of a service needs.
func (c *Calls) Service(args ctrl.ServiceArgs, reply *ctrl.ServiceReply) error {
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
	for range maxEntriesTold {
		rec := r.view.EntryAt(r.rand.IntN(r.view.EntryCount()))
		if !contains(reply.Entries, rec) {
			reply.Entries = append(reply.Entries, rec)
		}
	}
	return nil
}

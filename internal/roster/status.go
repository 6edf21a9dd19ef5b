package roster

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	// maxStatusEntries is how many entries are asked for the status of a contract; larger deployments are sampled.
	maxStatusEntries = 64
	statusTimeout    = 2 * time.Second
)

// Status tells where a contract is in force.
type Status struct {
	Instances []ctrl.Instance `json:"instances"`
	// Unresponsive lists the entries that didn't answer.
	Unresponsive []netip.AddrPort `json:"silent"`
	// EntryCount is the number of entries known, of which at most 64 are asked.
	EntryCount int `json:"entries"`
}

// Status returns the entry itself and the agents of a service that it hears.
func (c *RPCMethods) Status(args ctrl.StatusArgs, reply *ctrl.StatusReply) error {
	r := c.roster
	var serial uint64
	var number uint32
	r.opts.Journal.View(func(s *journ.State) {
		if rec, ok := s.Record(args.Name); ok {
			serial, number = rec.Serial, rec.Number
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Instances = append(reply.Instances, ctrl.Instance{
		Packets: r.self.Packets, Role: "entry", Domain: r.self.Domain, Serial: serial,
	})
	for addr, h := range r.heard {
		rec, ok := r.view.Get(addr)
		if ok && rec.Service == number {
			reply.Instances = append(reply.Instances, ctrl.Instance{
				Packets: addr, Role: "agent", Domain: rec.Domain, Serial: h.serial,
			})
		}
	}
	return nil
}

// Status asks the entries where a contract is in force.
func (r *Roster) Status(ctx context.Context, name string) Status {
	entries := r.Entries()
	status := Status{EntryCount: len(entries)}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := make(map[netip.AddrPort]int)
	for _, e := range entries[:min(len(entries), maxStatusEntries)] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := r.statusOf(ctx, e, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				status.Unresponsive = append(status.Unresponsive, e.Control)
				return
			}
			status.add(seen, reply.Instances)
		}()
	}
	wg.Wait()
	return status
}

func (r *Roster) statusOf(ctx context.Context, e view.Record, name string) (reply ctrl.StatusReply, err error) {
	if e.Packets == r.opts.Self.Packets {
		return reply, r.RPCMethods().Status(ctrl.StatusArgs{Name: name}, &reply)
	}
	return reply, r.opts.Client.Call(ctx, e.Control, "Entry.Status", ctrl.StatusArgs{Name: name}, &reply)
}

// add takes instances over, each once with the newest serial.
func (s *Status) add(seen map[netip.AddrPort]int, instances []ctrl.Instance) {
	for _, i := range instances {
		at, ok := seen[i.Packets]
		if !ok {
			seen[i.Packets] = len(s.Instances)
			s.Instances = append(s.Instances, i)
			continue
		}
		s.Instances[at].Serial = max(s.Instances[at].Serial, i.Serial)
	}
}

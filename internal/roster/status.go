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
	// maxStatusEntries limits the entries that Status queries. In larger deployments the result is a sample.
	maxStatusEntries = 64
	statusTimeout    = 2 * time.Second
)

// Status lists the processes at which a contract is in force, with its serial there.
type Status struct {
	Instances []ctrl.Instance `json:"instances"`
	// Unresponsive lists the control addresses of entries that didn't reply.
	Unresponsive []netip.AddrPort `json:"silent"`
	// EntryCount is the number of known entries, of which at most maxStatusEntries are queried.
	EntryCount int `json:"entries"`
}

// Status returns this entry and the agents of the contract's service that send it heartbeats.
func (c *RPCMethods) Status(args ctrl.StatusArgs, reply *ctrl.StatusReply) error {
	r := c.roster
	var contractSerial uint64
	var serviceNumber uint32
	r.opts.Journal.View(func(s *journ.State) {
		if rec, ok := s.Record(args.Name); ok {
			contractSerial, serviceNumber = rec.Serial, rec.Number
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.Instances = append(reply.Instances, ctrl.Instance{
		Packets: r.self.Packets, Role: "entry", Domain: r.self.Domain, Serial: contractSerial,
	})
	for addr, heartbeat := range r.lastHeartbeats {
		rec, ok := r.view.Get(addr)
		if ok && rec.Service == serviceNumber {
			reply.Instances = append(reply.Instances, ctrl.Instance{
				Packets: addr, Role: "agent", Domain: rec.Domain, Serial: heartbeat.contractSerial,
			})
		}
	}
	return nil
}

// Status queries the entries for the processes at which the contract with the given name is in force.
func (r *Roster) Status(ctx context.Context, name string) Status {
	entries := r.Entries()
	status := Status{EntryCount: len(entries)}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	positions := make(map[netip.AddrPort]int)
	for _, entry := range entries[:min(len(entries), maxStatusEntries)] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := r.queryStatus(ctx, entry, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				status.Unresponsive = append(status.Unresponsive, entry.Control)
				return
			}
			status.addInstances(positions, reply.Instances)
		}()
	}
	wg.Wait()
	return status
}

// queryStatus calls Status at an entry, or locally for this entry itself.
func (r *Roster) queryStatus(ctx context.Context, entry view.Record, name string) (reply ctrl.StatusReply, err error) {
	if entry.Packets == r.opts.Self.Packets {
		return reply, r.RPCMethods().Status(ctrl.StatusArgs{Name: name}, &reply)
	}
	return reply, r.opts.Client.Call(ctx, entry.Control, "Entry.Status", ctrl.StatusArgs{Name: name}, &reply)
}

// addInstances adds instances, each once and with its highest serial. positions maps a packet address to the
// index in s.Instances.
func (s *Status) addInstances(positions map[netip.AddrPort]int, instances []ctrl.Instance) {
	for _, instance := range instances {
		position, ok := positions[instance.Packets]
		if !ok {
			positions[instance.Packets] = len(s.Instances)
			s.Instances = append(s.Instances, instance)
			continue
		}
		s.Instances[position].Serial = max(s.Instances[position].Serial, instance.Serial)
	}
}

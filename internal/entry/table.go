package entry

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/place"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Service is what the packet path knows of one service. It is immutable but for the evidence.
type Service struct {
	Number uint32
	Serial uint64
	Member *Member
	// Share is the contract's share, which is a part of the member's.
	Share   uint32
	Address netip.AddrPort
	Retired bool

	members  []place.Candidate
	evidence []*evidence
}

// Member is a business with the sum of the shares of its contracts in force.
type Member struct {
	Name  string
	share atomic.Uint32
}

// Share returns the member's share.
func (m *Member) Share() uint32 { return m.share.Load() }

// Table maps addresses and service numbers to services for the packet path. Reads take no locks.
type Table struct {
	// anyAddress says that a service is found by its port alone, because the entry is behind an address translation.
	anyAddress bool

	mu       sync.Mutex
	agents   map[netip.AddrPort]*evidence
	members  map[string]*Member
	doors    atomic.Pointer[map[netip.AddrPort]*slot]
	numbered atomic.Pointer[[]*slot]
}

// slot holds the version of a service that is in force.
type slot struct{ service atomic.Pointer[Service] }

// NewTable returns an empty table. With anyAddress, services are found by port alone.
func NewTable(anyAddress bool) *Table {
	t := &Table{anyAddress: anyAddress, agents: make(map[netip.AddrPort]*evidence), members: make(map[string]*Member)}
	t.doors.Store(&map[netip.AddrPort]*slot{})
	t.numbered.Store(&[]*slot{})
	return t
}

// door returns the key under which the service at an address is found.
func (t *Table) door(a netip.AddrPort) netip.AddrPort {
	if t.anyAddress {
		return netip.AddrPortFrom(netip.IPv4Unspecified(), a.Port())
	}
	return a
}

// ByAddress returns the service whose callers use address a, or nil.
func (t *Table) ByAddress(a netip.AddrPort) *Service {
	s := (*t.doors.Load())[t.door(a)]
	if s == nil {
		return nil
	}
	return s.service.Load()
}

// ByNumber returns the service with a number, or nil.
func (t *Table) ByNumber(number uint32) *Service {
	slots := *t.numbered.Load()
	if int(number) >= len(slots) || slots[number] == nil {
		return nil
	}
	return slots[number].service.Load()
}

// SetContracts puts the contracts in force that are newer than those in the table, and returns how many were.
func (t *Table) SetContracts(records []contr.Record) (changed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := *t.numbered.Load()
	relist := false
	for i := range records {
		r := &records[i]
		old := t.ByNumber(r.Number)
		if old != nil && old.Serial >= r.Serial {
			continue
		}
		changed++
		slots = grow(slots, r.Number)
		fresh := t.fromRecord(r)
		t.moveShare(old, fresh)
		if old != nil {
			fresh.members, fresh.evidence = old.members, old.evidence
		}
		relist = relist || old == nil || old.Retired != fresh.Retired
		if slots[r.Number] == nil {
			slots[r.Number] = &slot{}
		}
		slots[r.Number].service.Store(fresh)
	}
	t.numbered.Store(&slots)
	if relist {
		t.relist(slots)
	}
	return changed
}

// grow returns slots, or a longer copy of it, so that it has a place for number.
func grow(slots []*slot, number uint32) []*slot {
	if int(number) < len(slots) {
		return slots
	}
	longer := make([]*slot, max(int(number)+1, 2*len(slots)))
	copy(longer, slots)
	return longer
}

func (t *Table) fromRecord(r *contr.Record) *Service {
	m := t.members[r.Contract.Member]
	if m == nil {
		m = &Member{Name: r.Contract.Member}
		t.members[m.Name] = m
	}
	return &Service{
		Number:  r.Number,
		Serial:  r.Serial,
		Member:  m,
		Share:   r.Contract.Share,
		Address: r.Contract.Address,
		Retired: r.Retired,
	}
}

// moveShare takes the share of a service's former contract from its member, and gives that of the present one.
func (*Table) moveShare(old, fresh *Service) {
	if old != nil && !old.Retired {
		old.Member.share.Add(-old.Share)
	}
	if !fresh.Retired {
		fresh.Member.share.Add(fresh.Share)
	}
}

// relist builds the index by address anew.
func (t *Table) relist(slots []*slot) {
	doors := make(map[netip.AddrPort]*slot, len(slots))
	for _, s := range slots {
		if s == nil || s.service.Load().Retired {
			continue
		}
		doors[t.door(s.service.Load().Address)] = s
	}
	t.doors.Store(&doors)
}

// SetMembers puts the agents of a service in force.
func (t *Table) SetMembers(number uint32, records []view.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.ByNumber(number)
	if old == nil {
		return
	}
	fresh := *old
	fresh.members, fresh.evidence = nil, nil
	for i := range records {
		r := &records[i]
		if r.State != view.Up {
			delete(t.agents, r.Packets)
			continue
		}
		e := t.agents[r.Packets]
		if e == nil || e.incarnation != r.Incarnation {
			e = &evidence{incarnation: r.Incarnation}
			t.agents[r.Packets] = e
		}
		fresh.members = append(fresh.members, place.Candidate{Agent: r.Packets, Domain: r.Domain, Weight: r.Weight})
		fresh.evidence = append(fresh.evidence, e)
	}
	(*t.numbered.Load())[number].service.Store(&fresh)
}

// AgentCount returns the number of agents that may get new flows of the service at an address.
func (t *Table) AgentCount(address netip.AddrPort) int {
	s := t.ByAddress(address)
	if s == nil {
		return 0
	}
	return len(s.members)
}

// Services returns all services, also retired ones.
func (t *Table) Services() []*Service {
	var out []*Service
	for _, s := range *t.numbered.Load() {
		if s != nil {
			out = append(out, s.service.Load())
		}
	}
	return out
}

const (
	// demoteAfter is how many handshakes in a row an agent may leave unanswered.
	demoteAfter = 3
	// answerTime is how long an agent may take for its first answer.
	answerTime = 250 * time.Millisecond
	// demotedFor is how long an agent is demoted before it is tried again.
	demotedFor = 3 * time.Second
)

// evidence is what an entry saw of an agent's answers to handshakes. It is safe for concurrent use.
type evidence struct {
	incarnation uint64
	// unanswered is how many handshakes were sent since the last answer, first the time of the first of them.
	unanswered atomic.Int32
	first      atomic.Int64
}

// sent notes that a handshake was sent at now.
func (e *evidence) sent(now time.Time) {
	if e.unanswered.Add(1) == 1 {
		e.first.Store(now.UnixNano())
	}
}

// answered notes that the agent sent something.
func (e *evidence) answered() {
	if e.unanswered.Load() != 0 {
		e.unanswered.Store(0)
	}
}

// demoted reports whether the agent seems not to answer.
func (e *evidence) demoted(now time.Time) bool {
	if e.unanswered.Load() < demoteAfter {
		return false
	}
	silent := now.Sub(time.Unix(0, e.first.Load()))
	if silent > answerTime+demotedFor {
		e.unanswered.Store(0)
		return false
	}
	return silent > answerTime
}

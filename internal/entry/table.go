package entry

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/place"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Service is the state of a service on the packet path. It is immutable except for the handshake trackers.
type Service struct {
	Number         uint32
	ContractSerial uint64
	Member         *Member
	// Share is the contract's share, which counts toward the member's.
	Share   uint32
	Address netip.AddrPort
	Retired bool

	// candidates are the agents that may get new flows; trackers has the tracker of each at the same index.
	candidates []place.Candidate
	trackers   []*handshakeTracker
}

// Member is a customer, whose share is the sum of the shares of its contracts in force.
type Member struct {
	Name  string
	share atomic.Uint32
}

// Share returns the member's share.
func (m *Member) Share() uint32 { return m.share.Load() }

// Table maps addresses and service numbers to services for the packet path. Lookups take no locks.
type Table struct {
	// portOnly is set if services are looked up by port alone, because the entry is behind network address translation.
	portOnly bool

	mu sync.Mutex
	// trackers has the handshake trackers by the agents' packet addresses.
	trackers  map[netip.AddrPort]*handshakeTracker
	members   map[string]*Member
	byAddress atomic.Pointer[map[netip.AddrPort]*serviceHolder]
	byNumber  atomic.Pointer[[]*serviceHolder]
}

// serviceHolder holds the current version of a service, which lookups read without a lock.
type serviceHolder struct{ service atomic.Pointer[Service] }

// NewTable returns an empty table. With portOnly, services are looked up by port alone.
func NewTable(portOnly bool) *Table {
	t := &Table{portOnly: portOnly, trackers: make(map[netip.AddrPort]*handshakeTracker), members: make(map[string]*Member)}
	t.byAddress.Store(&map[netip.AddrPort]*serviceHolder{})
	t.byNumber.Store(&[]*serviceHolder{})
	return t
}

// addressKey returns the key in byAddress of the service at an address.
func (t *Table) addressKey(address netip.AddrPort) netip.AddrPort {
	if t.portOnly {
		return netip.AddrPortFrom(netip.IPv4Unspecified(), address.Port())
	}
	return address
}

// ByAddress returns the service that callers reach at an address, or nil.
func (t *Table) ByAddress(address netip.AddrPort) *Service {
	s := (*t.byAddress.Load())[t.addressKey(address)]
	if s == nil {
		return nil
	}
	return s.service.Load()
}

// ByNumber returns the service with the given number, or nil. It also finds retired services, whose flows continue.
func (t *Table) ByNumber(number uint32) *Service {
	return serviceAt(*t.byNumber.Load(), number)
}

// SetContracts applies the contracts that are newer than those in the table and returns their number.
func (t *Table) SetContracts(records []contr.Record) (changed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	holders := *t.byNumber.Load()
	copied, rebuildIndex := false, false
	for i := range records {
		r := &records[i]
		old := serviceAt(holders, r.Number)
		if old != nil && old.ContractSerial >= r.Serial {
			continue
		}
		changed++
		updated := t.newService(r)
		t.updateMemberShare(old, updated)
		rebuildIndex = rebuildIndex || old == nil || old.Retired != updated.Retired
		if old != nil {
			updated.candidates, updated.trackers = old.candidates, old.trackers
			holders[r.Number].service.Store(updated)
			continue
		}
		if !copied { // Lookups read the published slice without a lock.
			holders, copied = slices.Clone(holders), true
		}
		holders = growHolders(holders, r.Number)
		holders[r.Number] = &serviceHolder{}
		holders[r.Number].service.Store(updated)
	}
	if copied {
		t.byNumber.Store(&holders)
	}
	if rebuildIndex {
		t.rebuildAddressIndex(holders)
	}
	return changed
}

// serviceAt returns the service with the given number in holders, or nil.
func serviceAt(holders []*serviceHolder, number uint32) *Service {
	if int(number) >= len(holders) || holders[number] == nil {
		return nil
	}
	return holders[number].service.Load()
}

// growHolders returns holders if number is a valid index of it, otherwise a longer copy.
func growHolders(holders []*serviceHolder, number uint32) []*serviceHolder {
	if int(number) < len(holders) {
		return holders
	}
	longer := make([]*serviceHolder, max(int(number)+1, 2*len(holders)))
	copy(longer, holders)
	return longer
}

func (t *Table) newService(r *contr.Record) *Service {
	m := t.members[r.Contract.Member]
	if m == nil {
		m = &Member{Name: r.Contract.Member}
		t.members[m.Name] = m
	}
	return &Service{
		Number:         r.Number,
		ContractSerial: r.Serial,
		Member:         m,
		Share:          r.Contract.Share,
		Address:        r.Contract.Address,
		Retired:        r.Retired,
	}
}

// updateMemberShare replaces the share of a service's old contract with that of the updated one in the members' sums.
func (*Table) updateMemberShare(old, updated *Service) {
	if old != nil && !old.Retired {
		old.Member.share.Add(-old.Share)
	}
	if !updated.Retired {
		updated.Member.share.Add(updated.Share)
	}
}

// rebuildAddressIndex rebuilds the index by address from the services that aren't retired.
func (t *Table) rebuildAddressIndex(holders []*serviceHolder) {
	byAddress := make(map[netip.AddrPort]*serviceHolder, len(holders))
	for _, s := range holders {
		if s == nil || s.service.Load().Retired {
			continue
		}
		byAddress[t.addressKey(s.service.Load().Address)] = s
	}
	t.byAddress.Store(&byAddress)
}

// SetAgents replaces the agents of a service with those of records that are up. An agent that has restarted gets a new
// handshake tracker.
func (t *Table) SetAgents(number uint32, records []view.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.ByNumber(number)
	if old == nil {
		return
	}
	updated := *old
	updated.candidates, updated.trackers = nil, nil
	for i := range records {
		r := &records[i]
		if r.State != view.Up {
			delete(t.trackers, r.Packets)
			continue
		}
		tracker := t.trackers[r.Packets]
		if tracker == nil || tracker.incarnation != r.Incarnation {
			tracker = &handshakeTracker{incarnation: r.Incarnation}
			t.trackers[r.Packets] = tracker
		}
		updated.candidates = append(updated.candidates, place.Candidate{Agent: r.Packets, Domain: r.Domain, Weight: r.Weight})
		updated.trackers = append(updated.trackers, tracker)
	}
	(*t.byNumber.Load())[number].service.Store(&updated)
}

// AgentCount returns the number of agents that may get new flows of the service at an address.
func (t *Table) AgentCount(address netip.AddrPort) int {
	s := t.ByAddress(address)
	if s == nil {
		return 0
	}
	return len(s.candidates)
}

// Services returns all services, including retired ones.
func (t *Table) Services() []*Service {
	var services []*Service
	for _, s := range *t.byNumber.Load() {
		if s != nil {
			services = append(services, s.service.Load())
		}
	}
	return services
}

const (
	// demotionThreshold is the number of consecutive unanswered handshakes after which an agent is demoted.
	demotionThreshold = 3
	// responseTimeout is the time that an agent has to respond, from the first unanswered handshake.
	responseTimeout = 250 * time.Millisecond
	// demotionPeriod is the time that an agent stays demoted before it is tried again.
	demotionPeriod = 3 * time.Second
)

// handshakeTracker tracks whether an agent responds to handshakes. It is safe for concurrent use.
type handshakeTracker struct {
	incarnation uint64
	// unanswered is the number of handshakes sent since the agent's last datagram.
	unanswered atomic.Int32
	// firstUnanswered is the time of the first of them, in nanoseconds since the Unix epoch.
	firstUnanswered atomic.Int64
}

// recordHandshake records that a handshake was sent at time now.
func (t *handshakeTracker) recordHandshake(now time.Time) {
	if t.unanswered.Add(1) == 1 {
		t.firstUnanswered.Store(now.UnixNano())
	}
}

// recordResponse records that the agent sent a datagram.
func (t *handshakeTracker) recordResponse() {
	if t.unanswered.Load() != 0 {
		t.unanswered.Store(0)
	}
}

// demoted reports whether the agent is demoted because it doesn't respond. After demotionPeriod it resets the count.
func (t *handshakeTracker) demoted(now time.Time) bool {
	if t.unanswered.Load() < demotionThreshold {
		return false
	}
	elapsed := now.Sub(time.Unix(0, t.firstUnanswered.Load()))
	if elapsed > responseTimeout+demotionPeriod {
		t.unanswered.Store(0)
		return false
	}
	return elapsed > responseTimeout
}

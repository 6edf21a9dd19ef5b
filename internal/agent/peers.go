package agent

import (
	"context"
	"crypto/tls"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bergamotrun/bergamotrun/internal/ctrl"
	"github.com/bergamotrun/bergamotrun/internal/offer"
	"github.com/bergamotrun/bergamotrun/internal/timer"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const (
	loadInterval = 500 * time.Millisecond
	// freeNoticeGap is the shortest time between two reports sent because slots became free.
	freeNoticeGap = 50 * time.Millisecond
	// flowNoticeGap is the shortest time between two reports sent because the number of flows changed,
	// flowNoticePart the part by which it must have changed.
	flowNoticeGap  = 200 * time.Millisecond
	flowNoticePart = 0.03
	// maxPeers bounds the peers that an agent exchanges load with.
	maxPeers = 8

	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 30 * time.Second
)

// peer is what an agent knows of another agent of its service.
type peer struct {
	offer.Peer
	record view.Record
	queued int
	flows  int
	// passed is the number of flows passed on to the peer since its report.
	passed int
}

// peerSet holds an agent's peers. It is safe for concurrent use.
type peerSet struct {
	http   *http.Transport
	choose func(own offer.LocalState, peers []offer.Peer, now time.Time, random float64) (int, offer.Reason)

	mu       sync.Mutex
	rand     *rand.Rand
	peers    []peer
	bias     offer.BiasController
	ack      time.Time
	lastTold time.Time
	// lastFlows is the number of flows last told to all peers.
	lastFlows int
}

func newPeerSet(r *rand.Rand, choose func(offer.LocalState, []offer.Peer, time.Time, float64) (int, offer.Reason)) *peerSet {
	return &peerSet{rand: r, choose: choose, ack: time.Now()}
}

// newPeerTransport returns the transport for requests that are handed over.
func newPeerTransport(conf *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: 5 * time.Second}
	return &http.Transport{
		TLSClientConfig:       conf,
		DialContext:           dialer.DialContext,
		TLSHandshakeTimeout:   peerDialTimeout,
		MaxIdleConnsPerHost:   8,
		IdleConnTimeout:       peerIdleTimeout,
		ExpectContinueTimeout: time.Second,
		DisableCompression:    true,
	}
}

// acked notes that an entry answered a heartbeat.
func (s *peerSet) acked(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ack = now
}

// lastAck returns when an entry last answered a heartbeat.
func (s *peerSet) lastAck() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ack
}

// setMembers takes over the service's members but for the agent itself.
func (s *peerSet) setMembers(members []view.Record, self netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []peer
	for _, r := range members {
		if r.Control == self || r.State == view.Gone {
			continue
		}
		fresh = append(fresh, s.peerFor(r))
	}
	s.peers = fresh
}

// peerFor returns what is known of the peer with record r.
func (s *peerSet) peerFor(r view.Record) peer {
	for i := range s.peers {
		if s.peers[i].record.Control == r.Control && s.peers[i].record.Incarnation == r.Incarnation {
			p := s.peers[i]
			p.record = r
			p.Draining = r.State == view.Draining
			return p
		}
	}
	return peer{Peer: offer.Peer{Control: r.Control, Draining: r.State == view.Draining}, record: r}
}

// heard takes a peer's report and reports whether it has free slots.
func (s *peerSet) heard(load ctrl.Load, now time.Time) (free bool) {
	s.with(load.Record.Control, func(p *peer) {
		if p.record.Incarnation != load.Record.Incarnation {
			return
		}
		p.take(load, now)
		p.Draining = load.Record.State != view.Up
		p.queued = load.QueuedRequests
		free = load.FreeSlots > 0 && !p.Failing && !p.Draining
	})
	return free
}

// answered takes the load that a peer told with its answer to a request.
func (s *peerSet) answered(control netip.AddrPort, load ctrl.Load, now time.Time) {
	s.with(control, func(p *peer) { p.take(load, now) })
}

// take takes over what a report says of the slots and flows.
func (p *peer) take(load ctrl.Load, now time.Time) {
	p.ReportedAt = now
	p.Utilization = float64(load.UtilizationPermille) / thousand
	p.Free = load.FreeSlots
	p.Failing = load.Failing
	p.SentSinceReport = 0
	p.flows = load.Flows
	p.passed = 0
}

const thousand = 1000

// decide returns the control address of the peer that should get a request, and why.
func (s *peerSet) decide(own offer.LocalState, now time.Time) (netip.AddrPort, offer.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]offer.Peer, len(s.peers))
	for i := range s.peers {
		list[i] = s.peers[i].Peer
	}
	own.Bias = s.bias.Update(own, list, now)
	i, why := s.choose(own, list, now, s.rand.Float64())
	if i < 0 {
		return netip.AddrPort{}, offer.RunLocally
	}
	s.peers[i].SentSinceReport++
	return s.peers[i].Control, why
}

// failed notes that a request handed to a peer failed.
func (s *peerSet) failed(control netip.AddrPort, now time.Time) {
	s.with(control, func(p *peer) { p.LastFailure = now })
}

// passedFlow notes that a flow was passed on to a peer.
func (s *peerSet) passedFlow(control netip.AddrPort) {
	s.with(control, func(p *peer) { p.passed++ })
}

func (s *peerSet) with(control netip.AddrPort, f func(*peer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.peers {
		if s.peers[i].Control == control {
			f(&s.peers[i])
		}
	}
}

// flowLoad returns the load of a peer for placing flows, and its age.
func (s *peerSet) flowLoad(control netip.AddrPort, now time.Time) (peer, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.peers {
		if s.peers[i].Control == control {
			return s.peers[i], now.Sub(s.peers[i].ReportedAt)
		}
	}
	return peer{}, time.Hour
}

// told notes the number of flows that peers were told.
func (s *peerSet) told(flows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFlows = flows
}

// audience returns the peers to report load to: all of them, or those that wait for free slots.
func (s *peerSet) audience(waiting bool, now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting && now.Sub(s.lastTold) < freeNoticeGap {
		return nil
	}
	s.lastTold = now
	var out []netip.AddrPort
	offset := 0
	if len(s.peers) > maxPeers {
		offset = s.rand.IntN(len(s.peers))
	}
	for i := range min(len(s.peers), maxPeers) {
		p := &s.peers[(i+offset)%len(s.peers)]
		if !waiting || p.queued > 0 {
			out = append(out, p.Control)
		}
	}
	return out
}

// flowsChanged reports whether the number of flows differs enough from what peers were told.
func (s *peerSet) flowsChanged(flows int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := math.Abs(float64(flows - s.lastFlows))
	return change > 1 && change > flowNoticePart*float64(s.lastFlows)
}

// runLoads reports the load to peers until ctx ends: at an interval, and earlier when flows come fast.
func (a *Agent) runLoads(ctx context.Context) error {
	told := time.Now()
	return timer.Every(ctx, flowNoticeGap, func() {
		if time.Since(told) < loadInterval && !a.peers.flowsChanged(a.flowCount()) {
			return
		}
		a.opening.Store(a.opening.Load() / 2) // Handshakes that were given up.
		a.tellLoad()
		told = time.Now()
	})
}

// tellLoad reports the load to all peers.
func (a *Agent) tellLoad() { a.sendLoad(a.peers.audience(false, time.Now())) }

// tellFree reports the load to the peers whose requests wait.
func (a *Agent) tellFree() { a.sendLoad(a.peers.audience(true, time.Now())) }

// ownLoad returns the load as peers are told of it.
func (a *Agent) ownLoad() ctrl.Load {
	load := a.work.load()
	return ctrl.Load{
		Record:              a.record(),
		UtilizationPermille: uint16(load.Utilization * thousand),
		FreeSlots:           load.Free,
		QueuedRequests:      load.Queued,
		Flows:               a.flowCount(),
		Failing:             load.Failing,
	}
}

func (a *Agent) sendLoad(to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	msg := a.ownLoad()
	a.peers.told(msg.Flows)
	for _, addr := range to {
		_ = ctrl.Send(a.link, addr, ctrl.KindLoad, msg)
	}
}

// onLoad takes a peer's report; requests that wait here may go there.
func (a *Agent) onLoad(_ netip.AddrPort, load ctrl.Load) {
	if a.peers.heard(load, time.Now()) {
		a.work.release(load.FreeSlots)
	}
}

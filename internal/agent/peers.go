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
	loadReportInterval = 500 * time.Millisecond
	// minFreeSlotsReportInterval is the least time between two reports that are sent because slots became free.
	minFreeSlotsReportInterval = 50 * time.Millisecond
	// minFlowReportInterval is the least time between two reports that are sent because the number of flows changed.
	// minFlowChange is the fraction by which it must have changed.
	minFlowReportInterval = 200 * time.Millisecond
	minFlowChange         = 0.03
	// maxPeers bounds the number of peers that an agent sends a report to.
	maxPeers = 8

	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 30 * time.Second
)

// peer is another agent of the service with its last reported load.
type peer struct {
	offer.Peer
	record view.Record
	// queuedRequests is the number of requests in the peer's queue, flows that of its flows and handshakes, as last reported.
	queuedRequests int
	flows          int
	// passedFlows is the number of flows passed on to the peer since its last report.
	passedFlows int
}

// peerSet holds an agent's peers. It is safe for concurrent use.
type peerSet struct {
	transport  *http.Transport
	choosePeer func(local offer.LocalState, peers []offer.Peer, now time.Time, random float64) (int, offer.Reason)

	mu           sync.Mutex
	rand         *rand.Rand
	peers        []peer
	bias         offer.BiasController
	lastAckAt    time.Time
	lastReportAt time.Time
	// lastReportedFlows is the number of flows in the last report.
	lastReportedFlows int
}

func newPeerSet(r *rand.Rand, choosePeer func(offer.LocalState, []offer.Peer, time.Time, float64) (int, offer.Reason)) *peerSet {
	return &peerSet{rand: r, choosePeer: choosePeer, lastAckAt: time.Now()}
}

// newPeerTransport returns the HTTP transport for requests to peers.
func newPeerTransport(tlsConfig *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: 5 * time.Second}
	return &http.Transport{
		TLSClientConfig:       tlsConfig,
		DialContext:           dialer.DialContext,
		TLSHandshakeTimeout:   peerDialTimeout,
		MaxIdleConnsPerHost:   8,
		IdleConnTimeout:       peerIdleTimeout,
		ExpectContinueTimeout: time.Second,
		DisableCompression:    true,
	}
}

// recordAck records that an entry acknowledged a heartbeat.
func (s *peerSet) recordAck(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAckAt = now
}

// lastAck returns when an entry last acknowledged a heartbeat.
func (s *peerSet) lastAck() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAckAt
}

// setAgents replaces the peers by the service's agents, except this agent itself and those that are gone.
func (s *peerSet) setAgents(agents []view.Record, self netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var peers []peer
	for _, r := range agents {
		if r.Control == self || r.State == view.Gone {
			continue
		}
		peers = append(peers, s.peerWithRecord(r))
	}
	s.peers = peers
}

// peerWithRecord returns the known peer with record r, or a new one.
func (s *peerSet) peerWithRecord(r view.Record) peer {
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

// recordReport records a peer's load report and reports whether the peer has free slots.
func (s *peerSet) recordReport(load ctrl.Load, now time.Time) (free bool) {
	s.update(load.Record.Control, func(p *peer) {
		if p.record.Incarnation != load.Record.Incarnation {
			return
		}
		p.applyLoad(load, now)
		p.Draining = load.Record.State != view.Up
		p.queuedRequests = load.QueuedRequests
		free = load.FreeSlots > 0 && !p.Failing && !p.Draining
	})
	return free
}

// recordLoad records the load in a peer's response to a request.
func (s *peerSet) recordLoad(control netip.AddrPort, load ctrl.Load, now time.Time) {
	s.update(control, func(p *peer) { p.applyLoad(load, now) })
}

// applyLoad sets the load from a report or a response.
func (p *peer) applyLoad(load ctrl.Load, now time.Time) {
	p.ReportedAt = now
	p.Utilization = float64(load.UtilizationPermille) / utilizationScale
	p.FreeSlots = load.FreeSlots
	p.Failing = load.Failing
	p.SentSinceReport = 0
	p.flows = load.Flows
	p.passedFlows = 0
}

// utilizationScale is the value of ctrl.Load.UtilizationPermille for a utilization of 1.
const utilizationScale = 1000

// choose returns the control address of the peer that should run a request, and the reason.
func (s *peerSet) choose(local offer.LocalState, now time.Time) (netip.AddrPort, offer.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]offer.Peer, len(s.peers))
	for i := range s.peers {
		peers[i] = s.peers[i].Peer
	}
	local.Bias = s.bias.Update(local, peers, now)
	i, reason := s.choosePeer(local, peers, now, s.rand.Float64())
	if i < 0 {
		return netip.AddrPort{}, offer.RunLocally
	}
	s.peers[i].SentSinceReport++
	return s.peers[i].Control, reason
}

// recordFailure records that a request handed over to a peer failed.
func (s *peerSet) recordFailure(control netip.AddrPort, now time.Time) {
	s.update(control, func(p *peer) { p.LastFailure = now })
}

// recordPassedFlow records that a flow was passed on to a peer.
func (s *peerSet) recordPassedFlow(control netip.AddrPort) {
	s.update(control, func(p *peer) { p.passedFlows++ })
}

// incarnation returns the incarnation of the peer at a control address, or 0 if it isn't known.
func (s *peerSet) incarnation(control netip.AddrPort) (incarnation uint64) {
	s.update(control, func(p *peer) { incarnation = p.record.Incarnation })
	return incarnation
}

// update calls f for the peer at a control address, if it is known.
func (s *peerSet) update(control netip.AddrPort, f func(*peer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.peers {
		if s.peers[i].Control == control {
			f(&s.peers[i])
		}
	}
}

// lastReport returns a peer and the age of its last report; an unknown peer has an old, empty report.
func (s *peerSet) lastReport(control netip.AddrPort, now time.Time) (peer, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.peers {
		if s.peers[i].Control == control {
			return s.peers[i], now.Sub(s.peers[i].ReportedAt)
		}
	}
	return peer{}, time.Hour
}

// recordReportedFlows records the number of flows in a report to peers.
func (s *peerSet) recordReportedFlows(flows int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReportedFlows = flows
}

// reportTargets returns the control addresses of at most maxPeers peers to report load to. With onlyQueued, they are those
// with queued requests, and none if the last report was sent less than minFreeSlotsReportInterval ago.
func (s *peerSet) reportTargets(onlyQueued bool, now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	if onlyQueued && now.Sub(s.lastReportAt) < minFreeSlotsReportInterval {
		return nil
	}
	s.lastReportAt = now
	var addrs []netip.AddrPort
	start := 0
	if len(s.peers) > maxPeers {
		start = s.rand.IntN(len(s.peers))
	}
	for i := range min(len(s.peers), maxPeers) {
		p := &s.peers[(i+start)%len(s.peers)]
		if !onlyQueued || p.queuedRequests > 0 {
			addrs = append(addrs, p.Control)
		}
	}
	return addrs
}

// flowsChanged reports whether the number of flows differs enough from the last report to send another one.
func (s *peerSet) flowsChanged(flows int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := math.Abs(float64(flows - s.lastReportedFlows))
	return change > 1 && change > minFlowChange*float64(s.lastReportedFlows)
}

// runLoadReports reports the load to peers until ctx is done: every loadReportInterval, and earlier if the number of
// flows changes.
func (a *Agent) runLoadReports(ctx context.Context) error {
	lastReportAt := time.Now()
	return timer.Every(ctx, minFlowReportInterval, func() {
		if time.Since(lastReportAt) < loadReportInterval && !a.peers.flowsChanged(a.flowsAndHandshakes()) {
			return
		}
		a.handshakes.Store(a.handshakes.Load() / 2) // Handshakes that were abandoned are never counted down otherwise.
		a.reportLoad()
		lastReportAt = time.Now()
	})
}

// reportLoad reports the load to all peers.
func (a *Agent) reportLoad() { a.sendReport(a.peers.reportTargets(false, time.Now())) }

// reportFreeSlots reports the load to the peers that have queued requests.
func (a *Agent) reportFreeSlots() { a.sendReport(a.peers.reportTargets(true, time.Now())) }

// ownLoad returns the load of this agent as it is reported to peers.
func (a *Agent) ownLoad() ctrl.Load {
	load := a.scheduler.load()
	return ctrl.Load{
		Record:              a.ownRecord(),
		UtilizationPermille: uint16(load.Utilization * utilizationScale),
		FreeSlots:           load.Free,
		QueuedRequests:      load.Queued,
		Flows:               a.flowsAndHandshakes(),
		Failing:             load.Failing,
	}
}

func (a *Agent) sendReport(to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	report := a.ownLoad()
	a.peers.recordReportedFlows(report.Flows)
	for _, addr := range to {
		_ = ctrl.Send(a.controlLink, addr, ctrl.KindLoad, report)
	}
}

// onLoad handles a peer's load report. If the peer has free slots, queued requests are offered to peers.
func (a *Agent) onLoad(_ netip.AddrPort, load ctrl.Load) {
	if a.peers.recordReport(load, time.Now()) {
		a.scheduler.offerToPeers(load.FreeSlots)
	}
}

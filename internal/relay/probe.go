package relay

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/encap"
	"github.com/bergamotrun/bergamotrun/internal/flow"
)

// maxProbedAlone is how many packets of a flow are sent to some of the servers that may hold it, and not to the others. Servers acknowledge
// every second packet; further ones that reach other servers alone would break the flow.
const maxProbedAlone = 2

// countProbe counts a packet that is sent to all servers that may hold the flow, or to some alone.
func (s *search) countProbe(alone bool) {
	if !alone {
		s.probedAlone = 0
		return
	}
	s.probedAlone++
}

// probe sends the first packet of a search to agents whose servers may hold the flow. If the link has no room for that, only those that may well
// hold it get the packet, and the others wait for the client's next one.
func (r *Relay) probe(key flow.Key, s *search, agents []netip.AddrPort, now time.Time) {
	if s.unattended {
		s.CancelProbe(agents)
		r.pauseSearch(key, s, "waits for the client", now)
		return
	}
	copies := len(agents)
	if s.probed == 0 {
		copies-- // One would go to the flow's agent without a search.
	}
	if !r.limits.allowProbes(s.packets[0], copies, now) {
		r.counters.Add("probe_left_out", 1)
		likely := s.MostLikely(agents)
		if len(likely) == 0 {
			s.CancelProbe(agents)
			r.pauseSearch(key, s, "probes left out", now)
			return
		}
		agents = likely
	}
	alone := s.LeavesOut(agents)
	if alone && s.probedAlone >= maxProbedAlone {
		r.pauseSearch(key, s, "no answer, and others may hold the flow", now)
		return
	}
	s.countProbe(alone)
	r.counters.Add("tried", int64(len(agents)))
	r.opts.FlowLog.Info("probing servers that may hold the flow", zap.Stringer("flow", key), zap.Int("servers", len(agents)),
		zap.Duration("after", now.Sub(s.startedAt)), zap.String("answers", s.Trace()))
	for _, agent := range agents {
		r.sendProbe(s, s.packets[0], agent)
	}
	s.probed = 1
	r.scheduleStep(key, s)
}

// probeMore sends the next packet of a search to the only agent whose server has not returned the first one.
func (r *Relay) probeMore(key flow.Key, s *search, agent netip.AddrPort, now time.Time) {
	if s.unattended || s.probed >= len(s.packets) || s.probedAlone >= maxProbedAlone {
		r.pauseSearch(key, s, "no answer to the probe", now)
		return
	}
	s.countProbe(s.LeavesOut([]netip.AddrPort{agent}))
	r.sendProbe(s, s.packets[s.probed], agent)
	s.probed++
	r.scheduleStep(key, s)
}

func (r *Relay) sendProbe(s *search, packet []byte, agent netip.AddrPort) {
	r.send(encap.Header{Kind: encap.Probe, Version: configVersion(r.opts.Cluster.Table()), Service: s.service, Entry: r.opts.Self}, packet, agent)
}

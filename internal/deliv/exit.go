package deliv

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/server"
)

const (
	// firstExitCheckDelay is the time that a server is given to exit after its shutdown notice was acknowledged, or after it counts as
	// silent. The time between two checks doubles up to maxExitCheckInterval: each check is a connection to the server.
	firstExitCheckDelay  = 50 * time.Millisecond
	maxExitCheckInterval = 800 * time.Millisecond
	// exitCheckTimeout bounds one check.
	exitCheckTimeout = 300 * time.Millisecond
)

// HandleShutdown processes the shutdown notice of the backend server id, which came at receivedAt. The server gets no new flows. It keeps
// those that it has until it has ended.
func (a *Agent) HandleShutdown(id string, receivedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.server.RecordShutdown(id, receivedAt) {
		return
	}
	a.opts.Log.Info("backend server changed", zap.String("id", id), zap.Stringer("change", server.ChangeLeft))
	a.updateReadiness(time.Now())
	a.requestExitChecks()
}

// requestExitChecks starts checks whether the server has ended, unless they are running.
func (a *Agent) requestExitChecks() {
	select {
	case a.exitChecksDue <- struct{}{}:
	default:
	}
}

// watchExits waits for the end of each backend server that has sent its shutdown notice or is silent. Before the first heartbeat it finds out
// whether a server is running.
func (a *Agent) watchExits(ctx context.Context) error {
	for interval := firstExitCheckDelay; ctx.Err() == nil && !a.checkAbsence(ctx); interval = min(2*interval, maxExitCheckInterval) {
		sleep(ctx, interval)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.exitChecksDue:
		}
		for interval := firstExitCheckDelay; ctx.Err() == nil; interval = min(2*interval, maxExitCheckInterval) {
			sleep(ctx, interval)
			if a.checkExit(ctx) {
				break
			}
		}
	}
}

// checkAbsence records that the server isn't running, if so: one that starts later holds only flows that the agent has seen. It returns true
// once that is known or doesn't matter any more.
func (a *Agent) checkAbsence(ctx context.Context) bool {
	now := time.Now()
	a.mu.Lock()
	_, known := a.server.LastHeartbeat()
	due := !known && !a.tableComplete(now)
	a.mu.Unlock()
	if !due {
		return true
	}
	if running, err := isListening(ctx, a.opts.Server); running || err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.server.RecordAbsence(now)
	a.opts.Log.Info("backend server isn't running yet", zap.Duration("agent_up", now.Sub(a.startedAt)))
	return true
}

// checkExit resets the flows of a server that is leaving or silent and has ended. It returns false as long as there is such a server that
// may not have ended.
func (a *Agent) checkExit(ctx context.Context) bool {
	a.mu.Lock()
	due := a.server.MayHaveEnded(time.Now())
	a.mu.Unlock()
	if !due {
		return true
	}
	running, err := isListening(ctx, a.opts.Server)
	if err != nil {
		a.opts.Log.Debug("can't tell whether the backend server has ended", zap.Error(err))
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.compensatePause(now)
	reason := "the server has ended"
	if a.server.IsLeaving() {
		reason = "the server has left"
	}
	if !a.server.RecordExitCheck(!running && err == nil, now) {
		return !a.server.MayHaveEnded(now)
	}
	heartbeat, packet := a.server.Silence(now)
	a.opts.Log.Info("backend server has ended", zap.Bool("refused", !running && err == nil),
		zap.Duration("server_heartbeat", heartbeat), zap.Duration("server_packet", packet))
	a.updateReadiness(now)
	a.resetFlows(func(*flowState) bool { return true }, reason)
	return true
}

// isListening reports whether a process accepts connections at an address. A process that has ended doesn't; if none can tell, err is set.
func isListening(ctx context.Context, addr netip.AddrPort) (bool, error) {
	dialer := net.Dialer{Timeout: exitCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "connect to the backend server")
	}
	return true, errors.Wrap(conn.Close(), "close connection to the backend server")
}

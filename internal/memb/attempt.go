package memb

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const (
	// attemptTimeout bounds an attempt to connect to a suspect: several round trips.
	attemptTimeout = 200 * time.Millisecond
	// maxAttempts is how many attempts in a row must be unanswered, since the network may lose a packet.
	maxAttempts = 2
)

// Connector attempts to connect to the control address of a process.
type Connector interface {
	// Connect reports whether the instance at addr answers, also by a refusal: its kernel then runs, and a process there may only stand
	// still or be starting. An error means that the attempt shows neither.
	Connect(ctx context.Context, addr netip.AddrPort) (answers bool, err error)
}

// TCPConnector is the Connector that opens a TCP connection and closes it.
type TCPConnector struct{}

// Connect implements Connector.
func (TCPConnector) Connect(ctx context.Context, addr netip.AddrPort) (bool, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	var netErr net.Error
	switch {
	case err == nil:
		return true, errors.Wrap(conn.Close(), "close connection")
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return true, nil
	case errors.As(err, &netErr) && netErr.Timeout(), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return false, nil
	}
	return false, errors.Wrap(err, "connect")
}

// attempt connects to a suspect and records the outcome.
func (n *Node) attempt(suspect, control netip.AddrPort) {
	answers, err := false, error(nil)
	for range maxAttempts {
		if answers, err = n.connect(control); answers {
			break
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.attempting, suspect)
	if !answers && err != nil {
		n.opts.Log.Debug("can't tell whether the instance of a silent agent runs", zap.Stringer("peer", suspect), zap.Error(err))
		n.suspicions.ForgetAttempt(suspect)
	} else if n.suspicions.RecordAttempt(suspect, answers, time.Now()) {
		n.opts.Log.Info("attempt to connect to a silent agent", zap.Stringer("peer", suspect), zap.Bool("instance_answers", answers))
	}
	n.concludeSuspicions(time.Now())
}

// connect makes one attempt to connect to a control address.
func (n *Node) connect(control netip.AddrPort) (answers bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	return n.opts.Connector.Connect(ctx, control)
}

// dueAttempts returns functions that attempt to connect to the suspects, without those to which an attempt is still running or of no use.
// The caller holds the lock.
func (n *Node) dueAttempts(suspects []netip.AddrPort, now time.Time) []func() {
	var attempts []func()
	for _, addr := range suspects {
		r, ok := n.view.Get(addr)
		if _, running := n.attempting[addr]; !ok || running || !n.suspicions.AttemptDue(addr, now) {
			continue
		}
		n.attempting[addr] = struct{}{}
		attempts = append(attempts, func() { n.attempt(addr, r.Control) })
	}
	return attempts
}

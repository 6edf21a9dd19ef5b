package memb

import (
	"context"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that doesn't answer and counts as one of which nothing can be told: a time-out of the connection comes as
// one of two errors.
func TestConnectionThatTimesOutIsNoAnswer(t *testing.T) {
	is := is.New(t)
	// A listener that accepts nothing and whose queue is full drops further SYNs, as a lost instance does.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	defer func() { is.NoErr(syscall.Close(fd)) }()
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	is.NoErr(err)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*syscall.SockaddrInet4).Port))
	const queueLength, attempts = 3, 30
	for i := range queueLength + attempts {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		answers, err := TCPConnector{}.Connect(ctx, addr)
		cancel()
		if i < queueLength {
			continue // The connection may have found a place in the queue.
		}
		is.NoErr(err)
		is.True(!answers)
	}
}

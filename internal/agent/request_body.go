package agent

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxBufferedBody is the size in bytes of the largest body that is buffered so that a request can be sent again.
const maxBufferedBody = 64 << 10

// requestBody is the body of a call. A small one can be buffered and then read more than once.
type requestBody struct {
	source      io.Reader
	size        int64
	buffered    []byte
	isBuffered  bool
	readStarted atomic.Bool
}

// buffer reads a small body into memory and reports whether it can be read again. It returns an error if the body ends
// early.
func (b *requestBody) buffer() (bool, error) {
	if b.isBuffered {
		return true, nil
	}
	if b.size < 0 || b.size > maxBufferedBody || b.readStarted.Load() {
		return false, nil
	}
	if b.size == 0 {
		b.isBuffered = true
		return true, nil
	}
	data, err := io.ReadAll(io.LimitReader(b.source, maxBufferedBody+1))
	if err != nil || int64(len(data)) != b.size {
		return false, errors.New("agent: the caller's body broke off")
	}
	b.buffered, b.isBuffered = data, true
	return true, nil
}

// consumed reports whether an unbuffered body has been read, so that the request can't be sent again.
func (b *requestBody) consumed() bool { return b.readStarted.Load() && !b.isBuffered }

// newReader returns the body for one attempt. The transport can't rewind it, so it doesn't retry the request on its own.
func (b *requestBody) newReader() io.ReadCloser {
	if b.isBuffered {
		return attemptBody{Reader: bytes.NewReader(b.buffered), readStarted: &b.readStarted}
	}
	return attemptBody{Reader: b.source, readStarted: &b.readStarted}
}

// attemptBody is the body that one attempt reads.
type attemptBody struct {
	io.Reader
	readStarted *atomic.Bool
}

// Read reads from the body and records that reading has started.
func (b attemptBody) Read(buf []byte) (int, error) {
	b.readStarted.Store(true)
	return b.Reader.Read(buf)
}

// Close does nothing: the server closes the body when the handler returns.
func (attemptBody) Close() error { return nil }

package agent

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxReplay is the largest body, in bytes, that is held so that a request can be sent a second time.
const maxReplay = 64 << 10

// body is the body of a call. A small one can be held, and then read more than once.
type body struct {
	source io.Reader
	size   int64
	held   []byte
	isHeld bool
	read   atomic.Bool
}

// hold reads a small body whole, and reports whether it can be read again. An error means that the caller broke off.
func (b *body) hold() (bool, error) {
	if b.isHeld {
		return true, nil
	}
	if b.size < 0 || b.size > maxReplay || b.read.Load() {
		return false, nil
	}
	if b.size == 0 {
		b.isHeld = true
		return true, nil
	}
	held, err := io.ReadAll(io.LimitReader(b.source, maxReplay+1))
	if err != nil || int64(len(held)) != b.size {
		return false, errors.New("agent: the caller's body broke off")
	}
	b.held, b.isHeld = held, true
	return true, nil
}

// spent reports whether a part of the body is gone, so that the request can't be sent again.
func (b *body) spent() bool { return b.read.Load() && !b.isHeld }

// reader returns the body for one attempt. The transport can't rewind it, so that it repeats nothing by itself.
func (b *body) reader() io.ReadCloser {
	if b.isHeld {
		return attemptBody{Reader: bytes.NewReader(b.held), read: &b.read}
	}
	return attemptBody{Reader: b.source, read: &b.read}
}

// attemptBody is a body as one attempt reads it.
type attemptBody struct {
	io.Reader
	read *atomic.Bool
}

// Read reads from the body.
func (b attemptBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.Reader.Read(p)
}

// Close does nothing: the server closes the body when the handler returns.
func (attemptBody) Close() error { return nil }

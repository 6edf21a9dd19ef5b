// Package ticket makes a request that is not idempotent run at most once.
//
// A ticket names the incarnation of the agent that minted it and a serial. Only that incarnation may run
// the request, and its Ledger lets it run once; no lease, clock or store takes part. The ledger keeps one
// bit for every serial, and the answers of the last requests.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

const (
	macSize    = 16
	bodySize   = 4 + 18 + 8 + 8
	ticketSize = bodySize + macSize
)

// Ticket is the right to run one request.
type Ticket struct {
	Service uint32
	// Agent is the control address of the agent that minted the ticket.
	Agent       netip.AddrPort
	Incarnation uint64
	Serial      uint64
}

// ErrInvalid says that a text is not a ticket of this deployment.
var ErrInvalid = errors.New("not a valid ticket")

// Codec writes and reads tickets as text. It is safe for concurrent use.
type Codec struct{ key [fleet.KeySize]byte }

// NewCodec returns the codec of a deployment.
func NewCodec(secret fleet.Secret) *Codec { return &Codec{key: secret.Derive("ticket")} }

// Encode returns the ticket as text for a header.
func (c *Codec) Encode(t Ticket) string {
	b := make([]byte, bodySize, ticketSize)
	binary.BigEndian.PutUint32(b, t.Service)
	ip := t.Agent.Addr().As16()
	copy(b[4:], ip[:])
	binary.BigEndian.PutUint16(b[20:], t.Agent.Port())
	binary.BigEndian.PutUint64(b[22:], t.Incarnation)
	binary.BigEndian.PutUint64(b[30:], t.Serial)
	return base64.RawURLEncoding.EncodeToString(append(b, c.mac(b)...))
}

// Decode reads a ticket. It returns ErrInvalid for a text that was not made by Encode.
func (c *Codec) Decode(text string) (Ticket, error) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) != ticketSize {
		return Ticket{}, ErrInvalid
	}
	if !hmac.Equal(c.mac(b[:bodySize]), b[bodySize:]) {
		return Ticket{}, ErrInvalid
	}
	ip := netip.AddrFrom16([16]byte(b[4:20])).Unmap()
	return Ticket{
		Service:     binary.BigEndian.Uint32(b),
		Agent:       netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[20:])),
		Incarnation: binary.BigEndian.Uint64(b[22:]),
		Serial:      binary.BigEndian.Uint64(b[30:]),
	}, nil
}

func (c *Codec) mac(body []byte) []byte {
	h := hmac.New(sha256.New, c.key[:])
	_, _ = h.Write(body) // A hash's Write never fails.
	return h.Sum(nil)[:macSize]
}

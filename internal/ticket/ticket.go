// Package ticket ensures that a request that is not idempotent runs at most once.
//
// A ticket contains a serial and the incarnation of the agent that issued it. Only that incarnation may run the request,
// and its Ledger allows it once, without a lease, clock or store. The ledger has one bit for each of the last serials and
// stores the responses of the last requests.
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
	macSize     = 16
	payloadSize = 4 + 18 + 8 + 8
	ticketSize  = payloadSize + macSize
)

// Ticket permits one execution of a request.
type Ticket struct {
	Service uint32
	// Agent is the control address of the agent that issued the ticket.
	Agent       netip.AddrPort
	Incarnation uint64
	Serial      uint64
}

// ErrInvalid is returned for a text that is not a ticket of this deployment.
var ErrInvalid = errors.New("not a valid ticket")

// Codec encodes and authenticates tickets. It is safe for concurrent use.
type Codec struct{ key [fleet.KeySize]byte }

// NewCodec returns a codec with a key derived from the deployment's secret.
func NewCodec(secret fleet.Secret) *Codec { return &Codec{key: secret.Derive("ticket")} }

// Encode returns a ticket as text for an HTTP header, with a message authentication code.
func (c *Codec) Encode(t Ticket) string {
	b := make([]byte, payloadSize, ticketSize)
	binary.BigEndian.PutUint32(b, t.Service)
	ip := t.Agent.Addr().As16()
	copy(b[4:], ip[:])
	binary.BigEndian.PutUint16(b[20:], t.Agent.Port())
	binary.BigEndian.PutUint64(b[22:], t.Incarnation)
	binary.BigEndian.PutUint64(b[30:], t.Serial)
	return base64.RawURLEncoding.EncodeToString(append(b, c.computeMAC(b)...))
}

// Decode decodes a ticket. It returns ErrInvalid for a text that Encode did not return.
func (c *Codec) Decode(text string) (Ticket, error) {
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) != ticketSize {
		return Ticket{}, ErrInvalid
	}
	if !hmac.Equal(c.computeMAC(b[:payloadSize]), b[payloadSize:]) {
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

// computeMAC returns the message authentication code of a payload.
func (c *Codec) computeMAC(payload []byte) []byte {
	h := hmac.New(sha256.New, c.key[:])
	_, _ = h.Write(payload) // A hash's Write never fails.
	return h.Sum(nil)[:macSize]
}

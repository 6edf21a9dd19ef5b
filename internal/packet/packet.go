// Package packet parses the version-independent part of QUIC packet headers (RFC 8999).
package packet

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

const (
	// MinInitialSize is the smallest datagram, in bytes, that may open a flow (RFC 9000, section 14.1).
	MinInitialSize = 1200
	// MaxConnIDLen is the longest connection ID, in bytes, that QUIC versions 1 and 2 allow.
	MaxConnIDLen = 20

	longHeaderBit      = 0x80
	versionOffset      = 1
	dstConnIDLenOffset = 5
)

// Errors that Parse returns.
var (
	ErrTruncated     = errors.New("packet: datagram ends within the packet header")
	ErrConnIDTooLong = errors.New("packet: connection ID is longer than 20 bytes")
)

// Header is the version-independent part of the header of the first packet in a datagram. Its slices alias the parsed
// datagram.
type Header struct {
	// Long is true for a long header. Only long headers have a version and a source connection ID.
	Long    bool
	Version uint32
	// DstConnID is the destination connection ID.
	DstConnID []byte
	// SrcConnID is the source connection ID; it is nil in a short header.
	SrcConnID []byte
}

// Parse parses the header of the first packet in datagram. A short header doesn't contain the length of its connection ID,
// so the caller passes it as shortConnIDLen. Parse returns ErrTruncated or ErrConnIDTooLong if the header is malformed.
func Parse(datagram []byte, shortConnIDLen int) (Header, error) {
	if len(datagram) == 0 {
		return Header{}, ErrTruncated
	}
	if datagram[0]&longHeaderBit != 0 {
		return parseLongHeader(datagram)
	}
	if len(datagram) < 1+shortConnIDLen {
		return Header{}, ErrTruncated
	}
	return Header{DstConnID: datagram[1 : 1+shortConnIDLen]}, nil
}

func parseLongHeader(datagram []byte) (Header, error) {
	if len(datagram) <= dstConnIDLenOffset {
		return Header{}, ErrTruncated
	}
	h := Header{Long: true, Version: binary.BigEndian.Uint32(datagram[versionOffset:])}
	dst, rest, err := readConnID(datagram[dstConnIDLenOffset:])
	if err != nil {
		return Header{}, err
	}
	src, _, err := readConnID(rest)
	if err != nil {
		return Header{}, err
	}
	h.DstConnID, h.SrcConnID = dst, src
	return h, nil
}

// readConnID reads a length-prefixed connection ID and returns it and the remaining bytes.
func readConnID(b []byte) (id, rest []byte, err error) {
	if len(b) == 0 {
		return nil, nil, ErrTruncated
	}
	n := int(b[0])
	if n > MaxConnIDLen {
		return nil, nil, ErrConnIDTooLong
	}
	if len(b) < 1+n {
		return nil, nil, ErrTruncated
	}
	return b[1 : 1+n], b[1+n:], nil
}

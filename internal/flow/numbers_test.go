package flow

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func packet(seq, ack uint32) Header { return Header{Ack: true, Seq: seq, AckNumber: ack} }

func TestNumbersOfBothEndsTellFlowsApart(t *testing.T) {
	client, server := uint32(0xffff_ff00), uint32(1000) // The client's numbers wrap around.
	var n Numbers
	if got := n.Match(packet(1, 2)); got != Unknown {
		t.Fatalf("no number known: got %d", got)
	}
	n.RecordClient(client)
	n.RecordServer(server)
	for _, c := range []struct {
		name string
		h    Header
		want Match
	}{
		{"next packet", packet(client, server), Same},
		{"a full window later", packet(client+19_200, server), Same},
		{"late copy", packet(client-19_200, server-19_200), Same},
		{"client's number of another flow", packet(client+1<<24, server), Other},
		{"server's number of another flow", packet(client, server+1<<24), Other},
		{"no acknowledgement", Header{Seq: client}, Same},
		{"too late", packet(client-maxDistance-1, server), Other},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(n.Match(c.h), c.want)
		})
	}
}

// A server's reply on an earlier flow has numbers of that one.
func TestNumbersTellPacketsOfTheServerApart(t *testing.T) {
	var n Numbers
	is.New(t).Equal(n.MatchServer(packet(1, 2)), Unknown)
	n.RecordClient(1000)
	is.New(t).Equal(n.MatchServer(packet(1<<30, 1000)), Same)
	is.New(t).Equal(n.MatchServer(packet(1<<30, 1<<30)), Other)
	n.RecordServer(0xffff_ff00)
	for _, c := range []struct {
		name string
		h    Header
		want Match
	}{
		{"next packet", packet(0xffff_ff00, 1000), Same},
		{"without acknowledgement", Header{Seq: 0xffff_ff00}, Same},
		{"server's number of another flow", packet(0xffff_ff00-1<<24, 1000), Other},
		{"client's number of another flow", packet(0xffff_ff00, 1000+1<<24), Other},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(n.MatchServer(c.h), c.want)
		})
	}
}

func TestLateNumbersAreIgnored(t *testing.T) {
	is := is.New(t)
	var n Numbers
	n.RecordServer(100)
	n.RecordServer(0xffff_fff0)
	next, ok := n.Server()
	is.True(ok)
	is.Equal(next, uint32(100))
}

// Guards against later flows from a port that pass for the earlier one by chance: 1 in 128 did by one number within 2^24.
func TestFewLaterFlowsPassForTheEarlierOne(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	passed := 0
	for range 1_000_000 {
		var n Numbers
		n.RecordClient(r.Uint32())
		n.RecordServer(r.Uint32())
		if n.Match(packet(r.Uint32(), r.Uint32())) != Other {
			passed++
		}
	}
	is.Equal(passed, 0)
}

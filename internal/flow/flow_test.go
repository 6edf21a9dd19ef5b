package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func key(port uint16) Key {
	return NewKey(netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), netip.MustParseAddrPort("198.18.0.1:443"))
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	k := key(40001)
	is.Equal(DecodeKey(k.Bytes()), k)
	is.Equal(k.String(), "100.64.0.7:40001>198.18.0.1:443")
	h := Header{Src: k.Client(), Dst: k.Service()}
	is.Equal(h.KeyFromClient(), k)
	h = Header{Src: k.Service(), Dst: k.Client()}
	is.Equal(h.KeyFromServer(), k)
	is.True(key(1).Hash() != key(2).Hash())
}

func TestTableExpiresIdleFlows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable[int](10*time.Second, 100)
	table.Put(key(1), 1, now)
	table.Put(key(2), 2, now)
	is.Equal(*table.Get(key(1), now.Add(8*time.Second)), 1)
	is.Equal(*table.Peek(key(2)), 2) // Peek doesn't count as a use.
	var expired []Key
	table.Sweep(now.Add(11*time.Second), 100, func(k Key, _ *int) { expired = append(expired, k) })
	is.Equal(expired, []Key{key(2)})
	is.Equal(table.Len(), 1)
	is.True(table.Get(key(2), now) == nil)
}

func TestSweepIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable[int](time.Second, 1000)
	for i := range 100 {
		table.Put(key(uint16(i)), i, now)
	}
	n := 0
	count := func(Key, *int) { n++ }
	table.Sweep(now.Add(time.Minute), 30, count)
	is.Equal(n, 30)
	for range 3 {
		table.Sweep(now.Add(time.Minute), 30, count)
	}
	is.Equal(n, 100)
}

func TestFullTableEvictsOne(t *testing.T) {
	is := is.New(t)
	table := NewTable[int](time.Minute, 3)
	for i := range 5 {
		table.Put(key(uint16(i)), i, time.Unix(1000, 0))
	}
	is.Equal(table.Len(), 3)
	is.True(table.Peek(key(4)) != nil)
}

func TestEvictionIsReported(t *testing.T) {
	is := is.New(t)
	table := NewTable[int](time.Minute, 1)
	var evicted []Key
	table.OnEvict(func(k Key, _ *int) { evicted = append(evicted, k) })
	for i := range 3 {
		table.Put(key(uint16(i)), i, time.Unix(1000, 0))
	}
	is.Equal(evicted, []Key{key(0), key(1)})
}

package route

import (
	"bytes"
	"encoding/gob"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var address = netip.MustParseAddrPort("198.18.0.1:443")

func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := Route{Targets: []Target{{"desk", 90}, {"intake", 10}, {"none", 0}}}
	count := map[string]int{}
	for i := range 10_000 {
		count[r.ServiceForHash(uint64(i)*0x9E3779B97F4A7C15)]++
	}
	is.True(count["intake"] > 850 && count["intake"] < 1150)
	is.Equal(count["none"], 0)
	is.Equal((&Route{Targets: []Target{{"desk", 0}}}).ServiceForHash(7), "")
	is.True(r.HasTarget(ServiceID("intake")))
	is.True(!r.HasTarget(ServiceID("other")))
}

// A table that another process sent can be used like one's own.
func TestTableTravels(t *testing.T) {
	is := is.New(t)
	table := NewTable(7, []Route{{Name: "r", Address: address, Targets: []Target{{"desk", 1}}}}, time.Second)
	table.Services = []Service{{"desk", "/healthz"}}
	var b bytes.Buffer
	is.NoErr(gob.NewEncoder(&b).Encode(*table))
	var got Table
	is.NoErr(gob.NewDecoder(&b).Decode(&got))
	back := Restore(got)
	is.Equal(back.Lookup(address).Name, "r")
	is.Equal(back.HealthPath("desk"), "/healthz")
	is.Equal(back.HealthPath("other"), "")
	is.True(back.Lookup(netip.MustParseAddrPort("198.18.0.1:80")) == nil)
}

func TestNoTable(t *testing.T) {
	is := is.New(t)
	var none *Table
	is.True(none.Lookup(address) == nil)
	is.Equal(none.HealthPath("desk"), "")
}

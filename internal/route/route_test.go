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
	flowsByService := map[string]int{}
	for i := range 10_000 {
		flowsByService[r.ServiceForHash(uint64(i)*0x9E3779B97F4A7C15)]++
	}
	is.True(flowsByService["intake"] > 850 && flowsByService["intake"] < 1150)
	is.Equal(flowsByService["none"], 0)
	is.Equal((&Route{Targets: []Target{{"desk", 0}}}).ServiceForHash(7), "")
	is.True(r.HasTarget(ServiceID("intake")))
	is.True(!r.HasTarget(ServiceID("other")))
}

// A table restored from its gob encoding must support lookups, although its index isn't encoded.
func TestTableGobRoundTrip(t *testing.T) {
	is := is.New(t)
	table := NewTable(7, []Route{{Name: "r", Address: address, Targets: []Target{{"desk", 1}}}}, time.Second)
	table.Services = []Service{{"desk", "/healthz"}}
	var b bytes.Buffer
	is.NoErr(gob.NewEncoder(&b).Encode(*table))
	var decoded Table
	is.NoErr(gob.NewDecoder(&b).Decode(&decoded))
	restored := Restore(decoded)
	is.Equal(restored.Lookup(address).Name, "r")
	is.Equal(restored.HealthPath("desk"), "/healthz")
	is.Equal(restored.HealthPath("other"), "")
	is.True(restored.Lookup(netip.MustParseAddrPort("198.18.0.1:80")) == nil)
}

func TestNilTable(t *testing.T) {
	is := is.New(t)
	var table *Table
	is.True(table.Lookup(address) == nil)
	is.Equal(table.HealthPath("desk"), "")
}

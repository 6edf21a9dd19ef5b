package settle

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against resets of open flows by a process that takes the agents in the directory for all, and against flows that are lost and
// aren't reset for long after a start of the whole deployment.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		evidence Evidence
		want     Reason
	}{
		"nothing is known":                       {Evidence{Uptime: time.Hour}, Unsettled},
		"right after the start":                  {Evidence{Uptime: DiscoveryTime - 1, ListReceived: true, Read: true, HeardAgent: true}, Unsettled},
		"a settled process has sent its list":    {Evidence{Uptime: DiscoveryTime, ListReceived: true, HeardOlderAgent: true, HeardOlderEntry: true}, Told},
		"all have started together":              {Evidence{Uptime: DiscoveryTime, Read: true, HeardAgent: true}, StartedTogether},
		"only entries, which have just started":  {Evidence{Uptime: 5 * time.Second, Read: true}, Unsettled},
		"added beside processes that have run":   {Evidence{Uptime: 15 * time.Second, Read: true, ReadAt: 14 * time.Second, HeardAgent: true, HeardOlderAgent: true}, Unsettled},
		"running processes are listed again":     {Evidence{Uptime: 21 * time.Second, Read: true, ReadAt: RelistTime, HeardAgent: true, HeardOlderAgent: true}, Relisted},
		"the read was before that":               {Evidence{Uptime: time.Minute, Read: true, ReadAt: RelistTime - 1, HeardOlderAgent: true}, Unsettled},
		"started together without the directory": {Evidence{Uptime: GossipTime, HeardAgent: true}, StartedTogether},
		"and gossip hasn't spread yet":           {Evidence{Uptime: GossipTime - 1, HeardAgent: true}, Unsettled},
		"replaces an entry, and all have failed": {Evidence{Uptime: ReplacementTime, Read: true, HeardAgent: true, HeardOlderAgent: true, Replaces: true}, Replacement},
		"heartbeats may have been lost":          {Evidence{Uptime: ReplacementTime - 1, Read: true, HeardAgent: true, HeardOlderAgent: true, Replaces: true}, Unsettled},
		"another entry has not failed":           {Evidence{Uptime: ReplacementTime, Read: true, HeardAgent: true, HeardOlderEntry: true, Replaces: true}, Unsettled},
		"added without the directory":            {Evidence{Uptime: time.Hour, HeardAgent: true, HeardOlderAgent: true}, Unsettled},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Decide(c.evidence), c.want)
		})
	}
}

// Guards against a list that counts as received while some of it is lost, or from parts of two lists.
func TestListIsCompleteWithAllItsParts(t *testing.T) {
	is := is.New(t)
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	var lists Lists
	is.True(!lists.Record(a, Part{List: 1, Index: 0, Count: 3}))
	is.True(!lists.Record(a, Part{List: 1, Index: 2, Count: 3}))
	is.True(!lists.Record(a, Part{List: 1, Index: 2, Count: 3}))
	is.True(!lists.Record(b, Part{List: 1, Index: 1, Count: 3}))
	is.True(!lists.Record(a, Part{List: 2, Index: 1, Count: 3}))
	is.True(!lists.Record(a, Part{List: 2, Index: 0, Count: 3}))
	is.True(lists.Record(a, Part{List: 2, Index: 2, Count: 3}))
	is.True(lists.Record(b, Part{List: 7, Index: 0, Count: 1}))
	for i := range uint8(MaxParts) {
		is.Equal(lists.Record(a, Part{List: 3, Index: i, Count: MaxParts}), i == MaxParts-1)
	}
	is.True(!lists.Record(b, Part{List: 8}))
	is.True(!lists.Record(b, Part{List: 8, Index: 1, Count: 1}))
	is.True(!lists.Record(b, Part{List: 8, Index: 0, Count: MaxParts + 1}))
}

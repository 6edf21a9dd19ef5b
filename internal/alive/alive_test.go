package alive

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.Unix(1000, 0)
	target = netip.MustParseAddrPort("10.0.0.1:1")
	asked  = []netip.AddrPort{
		netip.MustParseAddrPort("10.0.1.1:1"), netip.MustParseAddrPort("10.0.1.2:1"), netip.MustParseAddrPort("10.0.1.3:1"),
	}
)

// round asks about the suspect at now, and records one opinion of each of the processes asked; a negative one is no reply.
func round(t *Tracker, now time.Time, opinions ...int) {
	number := t.Ask([]netip.AddrPort{target}, len(opinions), now)
	for i, o := range opinions {
		if o >= 0 {
			t.Record(number, target, Report{From: asked[i], Opinion: Opinion(o)})
		}
	}
}

// Guards against a failure that is concluded without the confirmation of others, or against a contradiction.
func TestConclusions(t *testing.T) {
	const noReply = -1
	none, heard, stopping, silent := int(None), int(Heard), int(Stopping), int(Silent)
	for name, c := range map[string]struct {
		others   Others
		opinions []int
		failed   bool
	}{
		"no others in the deployment":        {others: Others{}, failed: true},
		"others exist and none is heard":     {others: Others{Known: 3}},
		"no replies":                         {others: Others{Known: 3, Heard: 3}, opinions: []int{noReply, noReply, noReply}},
		"all confirm":                        {others: Others{Known: 3, Heard: 3}, opinions: []int{silent, silent, silent}, failed: true},
		"two confirm, a reply is lost":       {others: Others{Known: 3, Heard: 3}, opinions: []int{silent, silent, noReply}, failed: true},
		"one of three confirms":              {others: Others{Known: 3, Heard: 3}, opinions: []int{silent, noReply, noReply}},
		"one confirms, the rest can't tell":  {others: Others{Known: 3, Heard: 3}, opinions: []int{silent, none, none}},
		"the only other one confirms":        {others: Others{Known: 1, Heard: 1}, opinions: []int{silent}, failed: true},
		"the only one that is heard agrees":  {others: Others{Known: 5, Heard: 1}, opinions: []int{silent}, failed: true},
		"the only other one can't tell":      {others: Others{Known: 1, Heard: 1}, opinions: []int{none}},
		"one hears the suspect":              {others: Others{Known: 3, Heard: 3}, opinions: []int{silent, silent, heard}},
		"one knows of a planned stop":        {others: Others{Known: 3, Heard: 3}, opinions: []int{stopping, silent, silent}},
		"unknown opinion of a later release": {others: Others{Known: 3, Heard: 3}, opinions: []int{9, 9, silent}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := New()
			tracker.Update([]netip.AddrPort{target})
			round(tracker, start, c.opinions...)
			tracker.Conclude(c.others, start.Add(replyTimeout))
			is.True(!tracker.Failed(target)) // Nobody has tried to connect.
			tracker.RecordAttempt(target, true, start)
			tracker.Conclude(c.others, start.Add(replyTimeout))
			is.True(!tracker.Failed(target)) // The process stands still, or is starting.
			tracker.RecordAttempt(target, false, start)
			tracker.Conclude(c.others, start.Add(replyTimeout))
			is.Equal(tracker.Failed(target), c.failed)
			tracker.RecordAttempt(target, true, start)
			tracker.Conclude(c.others, start.Add(replyTimeout))
			is.True(!tracker.Failed(target))
		})
	}
}

// Guards against a decision before the reply that contradicts has arrived.
func TestRepliesAreAwaited(t *testing.T) {
	is := is.New(t)
	others := Others{Known: 3, Heard: 3}
	tracker := New()
	tracker.Update([]netip.AddrPort{target})
	round(tracker, start, int(Silent), int(Silent), -1)
	is.Equal(len(tracker.Conclude(others, start.Add(replyTimeout/2))), 0)
	is.True(!tracker.Failed(target))
	tracker.Record(tracker.round, target, Report{From: asked[2], Opinion: Heard})
	decisions := tracker.Conclude(others, start.Add(replyTimeout/2))
	is.Equal(len(decisions), 1)
	is.True(!decisions[0].Failed)
	is.Equal(Trace(decisions[0].Reports), "10.0.1.1:1=silent 10.0.1.2:1=silent 10.0.1.3:1=heard")
	is.Equal(tracker.Witnesses([]netip.AddrPort{target}, 3), asked[2:])
}

// Guards against a confirmed failure that outlives contradictions, lost replies or the suspect's next heartbeat.
func TestFailureEnds(t *testing.T) {
	is := is.New(t)
	others := Others{Known: 3, Heard: 3}
	confirm := func() *Tracker {
		tracker := New()
		tracker.Update([]netip.AddrPort{target})
		tracker.RecordAttempt(target, false, start)
		round(tracker, start, int(Silent), int(Silent), int(Silent))
		decisions := tracker.Conclude(others, start)
		is.Equal(len(decisions), 1)
		is.True(decisions[0].Failed && tracker.Failed(target))
		return tracker
	}
	tracker := confirm()
	round(tracker, start.Add(roundInterval), -1, -1, -1)
	is.Equal(len(tracker.Conclude(others, start.Add(2*roundInterval))), 0)
	is.True(tracker.Failed(target)) // Lost replies don't end it at once.
	tracker.Conclude(others, start.Add(confirmationLifetime+1))
	is.True(!tracker.Failed(target))

	tracker = confirm()
	round(tracker, start.Add(roundInterval), int(Silent), int(Heard), int(Silent))
	is.Equal(len(tracker.Conclude(others, start.Add(roundInterval))), 1)
	is.True(!tracker.Failed(target))

	tracker = confirm()
	tracker.Conclude(others, start.Add(confirmationLifetime+1))
	is.True(!tracker.Failed(target)) // No further round was asked.

	tracker = confirm()
	tracker.Update(nil)
	is.True(!tracker.Failed(target))
	tracker.Update([]netip.AddrPort{target})
	is.True(!tracker.Failed(target))
}

// Guards against replies of an earlier round, and repeated ones, that count as confirmations.
func TestLateAndRepeatedRepliesAreIgnored(t *testing.T) {
	is := is.New(t)
	others := Others{Known: 3, Heard: 3}
	tracker := New()
	tracker.Update([]netip.AddrPort{target})
	earlier := tracker.Ask([]netip.AddrPort{target}, 3, start)
	later := tracker.Ask([]netip.AddrPort{target}, 3, start.Add(roundInterval))
	tracker.Record(earlier, target, Report{From: asked[0], Opinion: Silent})
	for range 2 {
		tracker.Record(later, target, Report{From: asked[1], Opinion: Silent})
	}
	tracker.Conclude(others, start.Add(2*roundInterval))
	is.True(!tracker.Failed(target))
}

// Guards against questions without bound when many processes are silent.
func TestQuestionsAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 4
	var silent []netip.AddrPort
	for i := range 3 * limit {
		silent = append(silent, netip.AddrPortFrom(target.Addr(), uint16(i+1)))
	}
	tracker := New()
	is.Equal(len(tracker.Due(start, limit)), 0) // Nothing is asked while none is silent.
	tracker.Update(silent)
	seen := make(map[netip.AddrPort]bool)
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		due := tracker.Due(now, limit)
		is.Equal(len(due), limit)
		tracker.Ask(due, 3, now)
		for _, addr := range due {
			seen[addr] = true
		}
	}
	is.Equal(len(seen), len(silent)) // All have their turn.
	is.Equal(len(tracker.Due(start.Add(roundInterval-time.Millisecond), limit)), 0)
	is.Equal(len(tracker.Due(start.Add(roundInterval), 3*limit)), len(silent)) // Questions that are nearly due are included.
}

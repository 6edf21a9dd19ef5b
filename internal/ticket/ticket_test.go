package ticket

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
)

func TestCodec(t *testing.T) {
	is := is.New(t)
	c := NewCodec(fleet.Secret{1})
	want := Ticket{Service: 4, Agent: netip.MustParseAddrPort("10.0.0.7:7001"), Incarnation: 99, Serial: 12}
	text := c.Encode(want)
	got, err := c.Decode(text)
	is.NoErr(err)
	is.Equal(got, want)
	_, err = NewCodec(fleet.Secret{2}).Decode(text)
	is.Equal(err, ErrInvalid)
	for i := range text {
		tampered := []byte(text)
		tampered[i] ^= 1
		_, err := c.Decode(string(tampered))
		is.Equal(err, ErrInvalid)
	}
}

func FuzzDecode(f *testing.F) {
	c := NewCodec(fleet.Secret{1})
	valid := Ticket{Service: 4, Agent: netip.MustParseAddrPort("10.0.0.7:7001"), Incarnation: 99, Serial: 12}
	f.Add(c.Encode(valid))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := c.Decode(text); err == nil && got != valid {
			t.Fatalf("forged ticket accepted: %+v", got)
		}
	})
}

func TestSerialBeginsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		issued := uint64(0)
		begun := make(map[uint64]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			serial := rapid.Uint64Range(0, 40).Draw(t, "serial")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(1, 8).Draw(t, "n")
				if first := l.Issue(n); first != issued {
					t.Fatalf("issued from serial %d, want %d", first, issued)
				}
				issued += uint64(n)
			case 1, 2:
				status, _ := l.Begin(serial)
				if status == Unused && (begun[serial] || serial >= issued) {
					t.Fatalf("serial %d may run again", serial)
				}
				if status == Unused {
					begun[serial] = true
				}
			case 3:
				if _, ok := l.running[serial]; ok {
					l.Complete(serial, Response{StatusCode: 200, Body: make([]byte, rapid.IntRange(0, 2*MaxResponseSize).Draw(t, "size"))})
				}
			case 4:
				l.Fail(serial)
			}
		}
	})
}

func TestLedgerReplaysResponses(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Issue(3)
	status, _ := l.Begin(0)
	is.Equal(status, Unused)
	status, _ = l.Begin(0)
	is.Equal(status, Running)
	l.Complete(0, Response{StatusCode: 201, Body: []byte("done")})
	status, response := l.Begin(0)
	is.Equal(status, Completed)
	is.Equal(string(response.Body), "done")

	status, _ = l.Begin(1)
	is.Equal(status, Unused)
	l.Release(1) // The request did not run.
	status, _ = l.Begin(1)
	is.Equal(status, Unused)
	l.Fail(1) // The request may have run.
	status, _ = l.Begin(1)
	is.Equal(status, OutcomeUnknown)
	l.Release(1) // The request isn't running any more.
	status, _ = l.Begin(1)
	is.Equal(status, OutcomeUnknown)
	status, _ = l.Begin(3)
	is.Equal(status, NotIssued)
}

func TestOldSerialsStayUsed(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Issue(2)
	status, _ := l.Begin(0)
	is.Equal(status, Unused)
	l.Fail(0)
	for range serialWindow / 64 {
		l.Issue(64)
	}
	for serial := range uint64(2) {
		status, _ = l.Begin(serial) // Also serial 1, which was never used: newer serials reuse its bit.
		is.Equal(status, OutcomeUnknown)
	}
}

func TestResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	const n = 2 * maxResponses
	l.Issue(n)
	for serial := range uint64(n) {
		l.Begin(serial)
		l.Complete(serial, Response{StatusCode: 200, Body: make([]byte, MaxResponseSize)})
		is.True(l.responseBytes <= maxResponseBytes)
		is.True(len(l.responses) <= maxResponses)
	}
	status, _ := l.Begin(0)
	is.Equal(status, OutcomeUnknown)
}

func BenchmarkSlopeLedger(b *testing.B) {
	l := NewLedger()
	b.ReportAllocs()
	for b.Loop() {
		serial := l.Issue(1)
		l.Begin(serial)
		l.Fail(serial)
	}
}

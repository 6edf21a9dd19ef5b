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
		bad := []byte(text)
		bad[i] ^= 1
		_, err := c.Decode(string(bad))
		is.Equal(err, ErrInvalid)
	}
}

func FuzzDecode(f *testing.F) {
	c := NewCodec(fleet.Secret{1})
	good := Ticket{Service: 4, Agent: netip.MustParseAddrPort("10.0.0.7:7001"), Incarnation: 99, Serial: 12}
	f.Add(c.Encode(good))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := c.Decode(text); err == nil && got != good {
			t.Fatalf("made-up ticket accepted: %+v", got)
		}
	})
}

func TestSerialBeginsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		minted := uint64(0)
		begun := make(map[uint64]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			serial := rapid.Uint64Range(0, 40).Draw(t, "serial")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(1, 8).Draw(t, "n")
				if first := l.Issue(n); first != minted {
					t.Fatalf("minted from %d, want %d", first, minted)
				}
				minted += uint64(n)
			case 1, 2:
				status, _ := l.Begin(serial)
				if status == Unused && (begun[serial] || serial >= minted) {
					t.Fatalf("serial %d begins again", serial)
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

func TestLedgerAnswersRepeats(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Issue(3)
	status, _ := l.Begin(0)
	is.Equal(status, Unused)
	status, _ = l.Begin(0)
	is.Equal(status, Running)
	l.Complete(0, Response{StatusCode: 201, Body: []byte("done")})
	status, a := l.Begin(0)
	is.Equal(status, Completed)
	is.Equal(string(a.Body), "done")

	status, _ = l.Begin(1)
	is.Equal(status, Unused)
	l.Release(1) // It has not run.
	status, _ = l.Begin(1)
	is.Equal(status, Unused)
	l.Fail(1) // It may have run.
	status, _ = l.Begin(1)
	is.Equal(status, OutcomeUnknown)
	l.Release(1) // Too late.
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
	for range window / 64 {
		l.Issue(64)
	}
	for serial := range uint64(2) {
		status, _ = l.Begin(serial) // Also the one never used: its bit is no longer its own.
		is.Equal(status, OutcomeUnknown)
	}
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	const n = 2 * maxAnswers
	l.Issue(n)
	for serial := range uint64(n) {
		l.Begin(serial)
		l.Complete(serial, Response{StatusCode: 200, Body: make([]byte, MaxResponseSize)})
		is.True(l.bytes <= maxAnswerBytes)
		is.True(len(l.answers) <= maxAnswers)
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

package seek

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// verdictNames are the names of verdicts in traces; no answer comes first.
var verdictNames = [...]string{"unanswered", "denied", "perhaps", "opening", "held"}

// String returns the verdict's name.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Trace returns what the agents said as one text, from which ParseTrace makes the search again.
func (s *Search) Trace() string {
	var b strings.Builder
	for i := range s.candidates {
		c := &s.candidates[i]
		if i > 0 {
			b.WriteByte(';')
		}
		b.WriteString(c.agent.String())
		b.WriteByte(',')
		b.WriteString(c.verdict.String())
		if c.silent {
			b.WriteString(",silent")
		}
	}
	return b.String()
}

// ParseTrace returns the search of a trace, with the time for answers over at now. The error names the candidate that
// can't be read.
func ParseTrace(text string, now time.Time) (*Search, error) {
	s := &Search{started: now.Add(-answerTime)}
	if text == "" {
		return s, nil
	}
	for _, part := range strings.Split(text, ";") {
		fields := strings.Split(part, ",")
		agent, err := netip.ParseAddrPort(fields[0])
		if err != nil {
			return nil, errors.Wrapf(err, "candidate %q", part)
		}
		c := candidate{agent: agent, silent: len(fields) == 3 && fields[2] == "silent"}
		if len(fields) < 2 || !c.parseVerdict(fields[1]) {
			return nil, errors.Errorf("candidate %q: no such verdict", part)
		}
		s.candidates = append(s.candidates, c)
	}
	return s, nil
}

func (c *candidate) parseVerdict(name string) bool {
	for v, n := range verdictNames {
		if n == name {
			c.verdict = Verdict(v)
			return true
		}
	}
	return false
}

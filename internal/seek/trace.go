package seek

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// verdictNames holds the names of verdicts in traces, indexed by Verdict. Traces are parsed, so the names are fixed.
var verdictNames = [...]string{"unanswered", "denied", "perhaps", "opening", "held"}

// String returns the verdict's name in traces.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// Trace formats the candidates and their verdicts as text. ParseTrace restores the search from it.
func (s *Search) Trace() string {
	var trace strings.Builder
	for i := range s.candidates {
		c := &s.candidates[i]
		if i > 0 {
			trace.WriteByte(';')
		}
		trace.WriteString(c.agent.String())
		trace.WriteByte(',')
		trace.WriteString(c.verdict.String())
		if c.dead {
			trace.WriteString(",silent")
		}
	}
	return trace.String()
}

// ParseTrace returns the search described by a trace, with its reply timeout expired at now. An error names the invalid
// candidate.
func ParseTrace(trace string, now time.Time) (*Search, error) {
	s := &Search{queriedAt: now.Add(-replyTimeout)}
	if trace == "" {
		return s, nil
	}
	for _, text := range strings.Split(trace, ";") {
		fields := strings.Split(text, ",")
		agent, err := netip.ParseAddrPort(fields[0])
		if err != nil {
			return nil, errors.Wrapf(err, "candidate %q", text)
		}
		c := candidate{agent: agent, dead: len(fields) == 3 && fields[2] == "silent"}
		if len(fields) < 2 || !c.setVerdict(fields[1]) {
			return nil, errors.Errorf("candidate %q: missing or unknown verdict", text)
		}
		s.candidates = append(s.candidates, c)
	}
	return s, nil
}

// setVerdict sets the verdict by its name in traces and reports whether the name is known.
func (c *candidate) setVerdict(name string) bool {
	for v, n := range verdictNames {
		if n == name {
			c.verdict = Verdict(v)
			return true
		}
	}
	return false
}

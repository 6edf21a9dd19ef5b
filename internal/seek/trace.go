package seek

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// verdictNames holds the names of verdicts in traces, indexed by Verdict. Traces are parsed, so the names are fixed.
var verdictNames = [...]string{"unanswered", "denied", "perhaps", "opening", "held"}

// sourceNames holds the names of sources in traces, indexed by Source.
var sourceNames = [...]string{"", "reply", "list", "earlier_list", "returned", "claimed", "unlisted", "witness"}

// silentMark marks dead candidates in traces.
const silentMark = "silent"

// String returns the verdict's name in traces.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "unknown"
}

// String returns the source's name in traces, empty if there is no verdict.
func (s Source) String() string {
	if int(s) < len(sourceNames) {
		return sourceNames[s]
	}
	return "unknown"
}

// Trace formats the candidates with their verdicts, the sources of these and whether they are dead, as text. ParseTrace
// restores the search from it.
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
		if c.source != 0 {
			trace.WriteByte(',')
			trace.WriteString(sourceNames[c.source])
		}
		if c.dead {
			trace.WriteByte(',')
			trace.WriteString(silentMark)
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
		c := candidate{agent: agent}
		if len(fields) < 2 || !c.setVerdict(fields[1]) {
			return nil, errors.Errorf("candidate %q: missing or unknown verdict", text)
		}
		for _, field := range fields[2:] {
			if field == silentMark {
				c.dead = true
			} else if !c.setSource(field) {
				return nil, errors.Errorf("candidate %q: unknown source %q", text, field)
			}
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

// setSource sets the verdict's source by its name in traces and reports whether the name is known.
func (c *candidate) setSource(name string) bool {
	for source, n := range sourceNames {
		if source > 0 && n == name {
			c.source = Source(source)
			return true
		}
	}
	return false
}

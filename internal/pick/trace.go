package pick

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// fieldsPerCandidate is the number of fields of a candidate in a trace.
const fieldsPerCandidate = 13

// Trace encodes the candidates of a choice as text for the log. ParseTrace decodes it, so that the choice can be
// reproduced.
func Trace(candidates []Candidate) string {
	var b strings.Builder
	for i := range candidates {
		c := &candidates[i]
		if i > 0 {
			b.WriteByte(';')
		}
		l := &c.Load
		fmt.Fprintf(&b, "%s,%t,%t,%d,%d,%d,%s,%g,%g,%t,%s,%s,%d", c.Agent, c.SameDomain, c.Ready, l.PendingRequests, l.Flows, l.Slots,
			l.MeanServiceTime, l.FirstRate, l.FollowUpRate, l.Cold, l.MinHealthCheckTime, c.Age, c.NewFlows)
	}
	return b.String()
}

// ParseTrace decodes the output of Trace. The error names the malformed candidate.
func ParseTrace(text string) ([]Candidate, error) {
	if text == "" {
		return nil, nil
	}
	var candidates []Candidate
	for _, part := range strings.Split(text, ";") {
		c, err := parseCandidate(strings.Split(part, ","))
		if err != nil {
			return nil, errors.Wrapf(err, "candidate %q", part)
		}
		candidates = append(candidates, c)
	}
	return candidates, nil
}

func parseCandidate(fields []string) (c Candidate, err error) {
	if len(fields) != fieldsPerCandidate {
		return Candidate{}, errors.Errorf("has %d fields, want %d", len(fields), fieldsPerCandidate)
	}
	r := fieldReader{fields: fields}
	c = Candidate{
		Agent: next(&r, netip.ParseAddrPort), SameDomain: next(&r, strconv.ParseBool), Ready: next(&r, strconv.ParseBool),
	}
	c.Load = Load{
		PendingRequests: next(&r, strconv.Atoi), Flows: next(&r, strconv.Atoi), Slots: next(&r, strconv.Atoi),
		MeanServiceTime: next(&r, time.ParseDuration), FirstRate: next(&r, parseFloat), FollowUpRate: next(&r, parseFloat),
		Cold: next(&r, strconv.ParseBool), MinHealthCheckTime: next(&r, time.ParseDuration),
	}
	c.Age, c.NewFlows = next(&r, time.ParseDuration), next(&r, strconv.Atoi)
	return c, r.err
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// fieldReader parses fields in order and keeps the first error.
type fieldReader struct {
	fields []string
	err    error
}

// next parses the next field of r.
func next[T any](r *fieldReader, parse func(string) (T, error)) T {
	v, err := parse(r.fields[0])
	if err != nil && r.err == nil {
		r.err = err
	}
	r.fields = r.fields[1:]
	return v
}

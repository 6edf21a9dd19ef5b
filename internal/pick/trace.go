package pick

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// traceFields is the number of fields of a member in a trace.
const traceFields = 13

// Trace returns what a choice among members rests on as one text, from which ParseTrace makes them again.
func Trace(members []Candidate) string {
	var b strings.Builder
	for i := range members {
		m := &members[i]
		if i > 0 {
			b.WriteByte(';')
		}
		l := &m.Load
		fmt.Fprintf(&b, "%s,%t,%t,%d,%d,%d,%s,%g,%g,%t,%s,%s,%d", m.Agent, m.SameDomain, m.Ready, l.Pending, l.Flows, l.Slots,
			l.ServiceTime, l.OpeningRate, l.FollowUpRate, l.Cold, l.HealthCheckTime, m.Age, m.Sent)
	}
	return b.String()
}

// ParseTrace reads a trace. The error names the member that can't be read.
func ParseTrace(text string) ([]Candidate, error) {
	if text == "" {
		return nil, nil
	}
	var out []Candidate
	for _, part := range strings.Split(text, ";") {
		m, err := parseMember(strings.Split(part, ","))
		if err != nil {
			return nil, errors.Wrapf(err, "member %q", part)
		}
		out = append(out, m)
	}
	return out, nil
}

func parseMember(f []string) (m Candidate, err error) {
	if len(f) != traceFields {
		return Candidate{}, errors.Errorf("has %d fields, not %d", len(f), traceFields)
	}
	read := reader{fields: f}
	m = Candidate{
		Agent: value(&read, netip.ParseAddrPort), SameDomain: value(&read, strconv.ParseBool), Ready: value(&read, strconv.ParseBool),
	}
	m.Load = Load{
		Pending: value(&read, strconv.Atoi), Flows: value(&read, strconv.Atoi), Slots: value(&read, strconv.Atoi),
		ServiceTime: value(&read, time.ParseDuration), OpeningRate: value(&read, parseFloat), FollowUpRate: value(&read, parseFloat),
		Cold: value(&read, strconv.ParseBool), HealthCheckTime: value(&read, time.ParseDuration),
	}
	m.Age, m.Sent = value(&read, time.ParseDuration), value(&read, strconv.Atoi)
	return m, read.err
}

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// reader reads fields one after the other and keeps the first error.
type reader struct {
	fields []string
	err    error
}

// value reads the next field.
func value[T any](r *reader, parse func(string) (T, error)) T {
	v, err := parse(r.fields[0])
	if err != nil && r.err == nil {
		r.err = err
	}
	r.fields = r.fields[1:]
	return v
}

package encap

import (
	"expvar"
	"testing"

	"github.com/matryer/is"
)

func TestMeterCountsBytesByKind(t *testing.T) {
	is := is.New(t)
	vars := new(expvar.Map)
	m := NewMeter(vars)
	query := make([]byte, HeaderSize+12)
	(&Header{Kind: Query}).Encode(query)
	m.RecordSent(query)
	m.RecordSent(query)
	m.RecordReceived([]byte{1, 2})
	var logged Totals
	is.Equal(m.Trace(&logged), "unknown=0/30 query=144/0")
	is.Equal(m.Trace(&logged), "") // Only what came since.
	is.Equal(vars.Get("sent_bytes").(*expvar.Map).Get("query").String(), "144")
	is.Equal(vars.Get("received_bytes").(*expvar.Map).Get("list_reply").String(), "0")
}

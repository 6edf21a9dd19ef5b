package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

func newResponse(code int, runStatus, retryAfter string) *http.Response {
	h := http.Header{}
	if runStatus != "" {
		h.Set(contr.HeaderRun, runStatus)
	}
	if retryAfter != "" {
		h.Set("Retry-After", retryAfter)
	}
	return &http.Response{StatusCode: code, Status: http.StatusText(code), Header: h, Body: io.NopCloser(strings.NewReader(""))}
}

// withArrivalNotRun sets the header which says that this arrival of the request has not run.
func withArrivalNotRun(r *http.Response) *http.Response {
	r.Header.Set(contr.HeaderArrival, contr.RunNot)
	return r
}

func TestClassify(t *testing.T) {
	errConn := errors.New("connection lost")
	cases := map[string]struct {
		resp *http.Response
		err  error
		mode retryMode
		want outcome
	}{
		"response":                {newResponse(200, "", ""), nil, retryIfNotRun, outcome{final: true}},
		"backend server error":    {newResponse(500, "", ""), nil, retryAlways, outcome{final: true}},
		"refused finally":         {newResponse(400, contr.RunNot, ""), nil, retryWithTicket, outcome{final: true}},
		"refused, retry later":    {newResponse(503, contr.RunNot, "2"), nil, retryIfNotRun, outcome{retryAfter: 2 * time.Second}},
		"running":                 {newResponse(409, contr.RunRunning, "1"), nil, retryWithTicket, outcome{retryAfter: time.Second, mayHaveRun: true}},
		"ticket unusable":         {withArrivalNotRun(newResponse(409, contr.RunUnknown, "")), nil, retryWithTicket, outcome{final: true, mayHaveRun: true, ticketUnusable: true}},
		"issuer unreachable":      {withArrivalNotRun(newResponse(503, contr.RunUnknown, "1")), nil, retryWithTicket, outcome{retryAfter: time.Second, mayHaveRun: true, ticketUnusable: true}},
		"issuer silent":           {newResponse(503, contr.RunUnknown, "1"), nil, retryWithTicket, outcome{retryAfter: time.Second, mayHaveRun: true}},
		"unknown, ticket":         {newResponse(502, contr.RunUnknown, ""), nil, retryWithTicket, outcome{final: true, mayHaveRun: true}},
		"unknown, idempotent":     {newResponse(502, contr.RunUnknown, ""), nil, retryAlways, outcome{mayHaveRun: true}},
		"no response, no ticket":  {nil, errConn, retryIfNotRun, outcome{final: true}},
		"no response, ticket":     {nil, errConn, retryWithTicket, outcome{mayHaveRun: true}},
		"no response, idempotent": {nil, errConn, retryAlways, outcome{mayHaveRun: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := classify(c.resp, c.err, c.mode)
			is.Equal(got.err != nil, c.resp == nil || c.resp.Header.Get(contr.HeaderRun) != "" && name != "refused finally")
			got.err = nil
			is.Equal(got, c.want)
		})
	}
}

func TestRetryModeOf(t *testing.T) {
	is := is.New(t)
	req, err := http.NewRequest(http.MethodPost, "https://x/", nil)
	is.NoErr(err)
	is.Equal(retryModeOf(req), retryIfNotRun)
	req.Header.Set(contr.HeaderTicket, "t")
	is.Equal(retryModeOf(req), retryWithTicket)
	req.Method = http.MethodGet
	is.Equal(retryModeOf(req), retryAlways)
}

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

func answer(code int, run, retry string) *http.Response {
	h := http.Header{}
	if run != "" {
		h.Set(contr.HeaderRun, run)
	}
	if retry != "" {
		h.Set("Retry-After", retry)
	}
	return &http.Response{StatusCode: code, Status: http.StatusText(code), Header: h, Body: io.NopCloser(strings.NewReader(""))}
}

// spent marks an answer as one to an arrival that has not run.
func spent(r *http.Response) *http.Response {
	r.Header.Set(contr.HeaderArrival, contr.RunNot)
	return r
}

func TestJudge(t *testing.T) {
	broken := errors.New("the flow broke")
	cases := map[string]struct {
		resp *http.Response
		err  error
		kind kind
		want step
	}{
		"answer":                {answer(200, "", ""), nil, once, step{final: true}},
		"server's own error":    {answer(500, "", ""), nil, repeatable, step{final: true}},
		"refused for good":      {answer(400, contr.RunNot, ""), nil, ticketed, step{final: true}},
		"refused, come back":    {answer(503, contr.RunNot, "2"), nil, once, step{after: 2 * time.Second}},
		"runs now":              {answer(409, contr.RunRunning, "1"), nil, ticketed, step{after: time.Second, uncertain: true}},
		"spent ticket":          {spent(answer(409, contr.RunUnknown, "")), nil, ticketed, step{final: true, uncertain: true, spent: true}},
		"unreachable minter":    {spent(answer(503, contr.RunUnknown, "1")), nil, ticketed, step{after: time.Second, uncertain: true, spent: true}},
		"minter silent":         {answer(503, contr.RunUnknown, "1"), nil, ticketed, step{after: time.Second, uncertain: true}},
		"unknown, ticket":       {answer(502, contr.RunUnknown, ""), nil, ticketed, step{final: true, uncertain: true}},
		"unknown, repeatable":   {answer(502, contr.RunUnknown, ""), nil, repeatable, step{uncertain: true}},
		"no answer, once":       {nil, broken, once, step{final: true}},
		"no answer, ticket":     {nil, broken, ticketed, step{uncertain: true}},
		"no answer, repeatable": {nil, broken, repeatable, step{uncertain: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := judge(c.resp, c.err, c.kind)
			is.Equal(got.err != nil, c.resp == nil || c.resp.Header.Get(contr.HeaderRun) != "" && name != "refused for good")
			got.err = nil
			is.Equal(got, c.want)
		})
	}
}

func TestKindOf(t *testing.T) {
	is := is.New(t)
	req, err := http.NewRequest(http.MethodPost, "https://x/", nil)
	is.NoErr(err)
	is.Equal(kindOf(req), once)
	req.Header.Set(contr.HeaderTicket, "t")
	is.Equal(kindOf(req), ticketed)
	req.Method = http.MethodGet
	is.Equal(kindOf(req), repeatable)
}

package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// TestNotRunIsNotReportedAfterUnknownAttempt checks that a caller gets no "not-run" response if an earlier attempt may have
// run, neither by the agent's own refusal nor by that of a peer.
func TestNotRunIsNotReportedAfterUnknownAttempt(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	for mayHaveRun, want := range map[bool]string{false: contr.RunNot, true: contr.RunUnknown} {
		c, rec := newTestCall(a, http.MethodGet)
		c.mayHaveRun = mayHaveRun
		a.refuseBusy(c, "no capacity") // The agent's own refusal.
		is.Equal(rec.Header().Get(contr.HeaderRun), want)
		is.True(rec.Header().Get("Retry-After") != "")

		c, rec = newTestCall(a, http.MethodGet)
		c.mayHaveRun = mayHaveRun
		resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
		resp.Header.Set(contr.HeaderRun, contr.RunNot)
		is.Equal(writeResponse(c, resp).outcome, outcomeCompleted) // A refusal by a peer.
		is.Equal(rec.Header().Get(contr.HeaderRun), want)
	}
}

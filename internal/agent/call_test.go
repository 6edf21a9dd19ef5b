package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// TestNotRunIsNotSaidAfterAnAttempt checks both ways by which "not run" reaches a caller.
func TestNotRunIsNotSaidAfterAnAttempt(t *testing.T) {
	is := is.New(t)
	a := newTestAgent(t, "http://127.0.0.1:1")
	for mayHaveRun, want := range map[bool]string{false: contr.RunNot, true: contr.RunUnknown} {
		c, rec := testCall(a, http.MethodGet)
		c.mayHaveRun = mayHaveRun
		a.refuseBusy(c, "no room") // The agent's own refusal.
		is.Equal(rec.Header().Get(contr.HeaderRun), want)
		is.True(rec.Header().Get("Retry-After") != "")

		c, rec = testCall(a, http.MethodGet)
		c.mayHaveRun = mayHaveRun
		resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}
		resp.Header.Set(contr.HeaderRun, contr.RunNot)
		is.Equal(pass(c, resp).fate, fateAnswered) // A peer's refusal.
		is.Equal(rec.Header().Get(contr.HeaderRun), want)
	}
}

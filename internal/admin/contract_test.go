package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/kvfake"
	"github.com/bergamotrun/bergamotrun/internal/roster"
	"github.com/bergamotrun/bergamotrun/internal/view"
)

const token = "a token of sixteen"

// noRoster knows no processes.
type noRoster struct{}

func (noRoster) Status(context.Context, string) roster.Status { return roster.Status{} }
func (noRoster) Members(uint32) []view.Record                 { return nil }

func newTestServer(t *testing.T) (http.Handler, *kvfake.Memory) {
	t.Helper()
	store := kvfake.NewMemory()
	journal := journ.New(store, func() {})
	s, err := New(t.Context(), Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Token: token, Vars: new(expvar.Map),
		Ready: func() bool { return false }, API: NewAPI(journal, noRoster{}, fleet.Secret{1}, zap.NewNop()), Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.ln.Close() })
	return s.routes(), store
}

type answer struct {
	code int
	etag string
	body string
}

func do(h http.Handler, method, path, match, body string) answer {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return answer{w.Code, w.Header().Get("ETag"), w.Body.String()}
}

const good = `{"id":"c1","who":"jana","why":"new","contract":{"name":"desk","member":"ovesna","address":"192.0.2.1:443"}}`

func TestContractLife(t *testing.T) {
	is := is.New(t)
	h, _ := newTestServer(t)
	a := do(h, "POST", "/v1/contracts", "", good)
	is.Equal(a.code, http.StatusCreated)
	is.Equal(a.etag, `"1"`)
	is.Equal(do(h, "POST", "/v1/contracts", "", good).etag, `"1"`) // The same identifier again: not applied twice.
	is.Equal(do(h, "POST", "/v1/contracts", "", strings.Replace(good, "c1", "c2", 1)).code, http.StatusConflict)
	update := strings.Replace(strings.Replace(good, "c1", "u1", 1), `"address"`, `"share":7,"address"`, 1)
	is.Equal(do(h, "PUT", "/v1/contracts/desk", "", update).code, http.StatusPreconditionRequired)
	is.Equal(do(h, "PUT", "/v1/contracts/desk", `"x"`, update).code, http.StatusBadRequest)
	a = do(h, "PUT", "/v1/contracts/desk", `"1"`, update)
	is.Equal(a.code, http.StatusOK)
	is.Equal(a.etag, `"2"`)
	a = do(h, "PUT", "/v1/contracts/desk", `"1"`, strings.Replace(update, "u1", "u2", 1))
	is.Equal(a.code, http.StatusPreconditionFailed) // Stale.
	is.Equal(a.etag, `"2"`)
	is.Equal(do(h, "DELETE", "/v1/contracts/desk", "2", `{"id":"d1","who":"jana"}`).code, http.StatusOK)
	is.Equal(do(h, "PUT", "/v1/contracts/desk", "3", strings.Replace(update, "u1", "u3", 1)).code, http.StatusNotFound)
	is.Equal(do(h, "GET", "/v1/contracts/desk", "", "").code, http.StatusOK)
	var history []journ.Entry
	is.NoErr(json.Unmarshal([]byte(do(h, "GET", "/v1/contracts/desk/history", "", "").body), &history))
	var ids []string
	for _, e := range history {
		ids = append(ids, e.Change.ID)
	}
	is.Equal(ids, []string{"c1", "u1", "d1"})
}

func TestBadInputIsNamed(t *testing.T) {
	h, _ := newTestServer(t)
	is.New(t).Equal(do(h, "POST", "/v1/contracts", "", good).code, http.StatusCreated)
	cases := map[string]struct {
		body string
		want []string
	}{
		"unknown field":    {strings.Replace(good, `"name"`, `"colour":1,"name"`, 1), []string{"colour"}},
		"no identifier":    {strings.Replace(good, `"id":"c1",`, "", 1), []string{"id", "is missing"}},
		"no contract":      {`{"id":"x","who":"y"}`, []string{"contract", "is missing"}},
		"not JSON":         {`{`, []string{"body"}},
		"bad duration":     {strings.Replace(good, `"name"`, `"deadline":"soon","name"`, 1), []string{"soon"}},
		"several bad ones": {`{"id":"x","who":"y","contract":{"name":"Desk!","member":"","address":"[::1]:1","slots":-1}}`, []string{"name", "Desk!", "member", "address", "::1", "slots", "-1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := do(h, "POST", "/v1/contracts", "", c.body)
			is.Equal(a.code, http.StatusBadRequest)
			for _, want := range c.want {
				is.True(strings.Contains(a.body, want))
			}
		})
	}
	is := is.New(t)
	is.Equal(do(h, "POST", "/v1/contracts", "", strings.Repeat("x", 1<<17)).code, http.StatusRequestEntityTooLarge)
	move := strings.Replace(strings.Replace(good, "c1", "m1", 1), "192.0.2.1", "192.0.2.2", 1)
	a := do(h, "PUT", "/v1/contracts/desk", "1", move)
	is.Equal(a.code, http.StatusBadRequest) // An address can't change.
	is.True(strings.Contains(a.body, "address"))
}

func TestTokenIsNeeded(t *testing.T) {
	is := is.New(t)
	h, _ := newTestServer(t)
	for _, auth := range []string{"", "Bearer wrong", token} {
		r := httptest.NewRequest("GET", "/v1/contracts", nil)
		r.Header.Set("Authorization", auth)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusUnauthorized)
	}
	is.Equal(do(h, "GET", "/healthz", "", "").code, http.StatusOK)
	is.Equal(do(h, "GET", "/readyz", "", "").code, http.StatusServiceUnavailable)
}

func TestStoreDownIsTold(t *testing.T) {
	is := is.New(t)
	h, store := newTestServer(t)
	store.SetDown(true)
	is.Equal(do(h, "POST", "/v1/contracts", "", good).code, http.StatusServiceUnavailable)
	store.SetDown(false)
	is.Equal(do(h, "POST", "/v1/contracts", "", good).code, http.StatusCreated)
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	h, _ := newTestServer(t)
	is.Equal(do(h, "POST", "/v1/keys/add?number=1", "", `{"id":"k1","who":"jana"}`).code, http.StatusOK)
	is.Equal(do(h, "POST", "/v1/keys/drop?number=1", "", `{"id":"k2","who":"jana"}`).code, http.StatusConflict)
	is.Equal(do(h, "POST", "/v1/keys/add?number=300", "", `{"id":"k3","who":"jana"}`).code, http.StatusBadRequest)
	is.Equal(do(h, "POST", "/v1/keys/turn?number=1", "", `{"id":"k4","who":"jana"}`).code, http.StatusNotFound)
}

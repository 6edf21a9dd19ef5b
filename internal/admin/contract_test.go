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

const testToken = "a token of sixteen"

// emptyRoster is a Roster without processes.
type emptyRoster struct{}

func (emptyRoster) Status(context.Context, string) roster.Status { return roster.Status{} }
func (emptyRoster) ServiceAgents(uint32) []view.Record           { return nil }

func newTestServer(t *testing.T) (http.Handler, *kvfake.Memory) {
	t.Helper()
	store := kvfake.NewMemory()
	journal := journ.New(store, func() {})
	s, err := New(t.Context(), Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Token: testToken, Vars: new(expvar.Map),
		Ready: func() bool { return false }, API: NewAPI(journal, emptyRoster{}, fleet.Secret{1}, zap.NewNop()), Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.listener.Close() })
	return s.routes(), store
}

type response struct {
	code int
	etag string
	body string
}

func serve(h http.Handler, method, path, match, body string) response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return response{w.Code, w.Header().Get("ETag"), w.Body.String()}
}

const createBody = `{"id":"c1","who":"jana","why":"new","contract":{"name":"desk","member":"ovesna","address":"192.0.2.1:443"}}`

// Creates, updates and retires a contract, with repeated requests and requests based on an outdated serial.
func TestContractLifecycle(t *testing.T) {
	is := is.New(t)
	h, _ := newTestServer(t)
	a := serve(h, "POST", "/v1/contracts", "", createBody)
	is.Equal(a.code, http.StatusCreated)
	is.Equal(a.etag, `"1"`)
	is.Equal(serve(h, "POST", "/v1/contracts", "", createBody).etag, `"1"`) // Repeated with the same ID: not applied twice.
	is.Equal(serve(h, "POST", "/v1/contracts", "", strings.Replace(createBody, "c1", "c2", 1)).code, http.StatusConflict)
	update := strings.Replace(strings.Replace(createBody, "c1", "u1", 1), `"address"`, `"share":7,"address"`, 1)
	is.Equal(serve(h, "PUT", "/v1/contracts/desk", "", update).code, http.StatusPreconditionRequired)
	is.Equal(serve(h, "PUT", "/v1/contracts/desk", `"x"`, update).code, http.StatusBadRequest)
	a = serve(h, "PUT", "/v1/contracts/desk", `"1"`, update)
	is.Equal(a.code, http.StatusOK)
	is.Equal(a.etag, `"2"`)
	a = serve(h, "PUT", "/v1/contracts/desk", `"1"`, strings.Replace(update, "u1", "u2", 1))
	is.Equal(a.code, http.StatusPreconditionFailed) // Based on an outdated serial.
	is.Equal(a.etag, `"2"`)
	is.Equal(serve(h, "DELETE", "/v1/contracts/desk", "2", `{"id":"d1","who":"jana"}`).code, http.StatusOK)
	is.Equal(serve(h, "PUT", "/v1/contracts/desk", "3", strings.Replace(update, "u1", "u3", 1)).code, http.StatusNotFound)
	is.Equal(serve(h, "GET", "/v1/contracts/desk", "", "").code, http.StatusOK)
	var history []journ.Entry
	is.NoErr(json.Unmarshal([]byte(serve(h, "GET", "/v1/contracts/desk/history", "", "").body), &history))
	var ids []string
	for _, e := range history {
		ids = append(ids, e.Change.ID)
	}
	is.Equal(ids, []string{"c1", "u1", "d1"})
}

// The response to an invalid request must name each invalid field and its value.
func TestInvalidRequestNamesFields(t *testing.T) {
	h, _ := newTestServer(t)
	is.New(t).Equal(serve(h, "POST", "/v1/contracts", "", createBody).code, http.StatusCreated)
	cases := map[string]struct {
		body string
		want []string
	}{
		"unknown field":    {strings.Replace(createBody, `"name"`, `"colour":1,"name"`, 1), []string{"colour"}},
		"no identifier":    {strings.Replace(createBody, `"id":"c1",`, "", 1), []string{"id", "is missing"}},
		"no contract":      {`{"id":"x","who":"y"}`, []string{"contract", "is missing"}},
		"not JSON":         {`{`, []string{"body"}},
		"bad duration":     {strings.Replace(createBody, `"name"`, `"deadline":"soon","name"`, 1), []string{"soon"}},
		"several bad ones": {`{"id":"x","who":"y","contract":{"name":"Desk!","member":"","address":"[::1]:1","slots":-1}}`, []string{"name", "Desk!", "member", "address", "::1", "slots", "-1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := serve(h, "POST", "/v1/contracts", "", c.body)
			is.Equal(a.code, http.StatusBadRequest)
			for _, want := range c.want {
				is.True(strings.Contains(a.body, want))
			}
		})
	}
	is := is.New(t)
	is.Equal(serve(h, "POST", "/v1/contracts", "", strings.Repeat("x", 1<<17)).code, http.StatusRequestEntityTooLarge)
	moveBody := strings.Replace(strings.Replace(createBody, "c1", "m1", 1), "192.0.2.1", "192.0.2.2", 1)
	a := serve(h, "PUT", "/v1/contracts/desk", "1", moveBody)
	is.Equal(a.code, http.StatusBadRequest) // The address of a contract can't be changed.
	is.True(strings.Contains(a.body, "address"))
}

func TestAPIRequiresToken(t *testing.T) {
	is := is.New(t)
	h, _ := newTestServer(t)
	for _, auth := range []string{"", "Bearer wrong", testToken} {
		r := httptest.NewRequest("GET", "/v1/contracts", nil)
		r.Header.Set("Authorization", auth)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusUnauthorized)
	}
	is.Equal(serve(h, "GET", "/healthz", "", "").code, http.StatusOK)
	is.Equal(serve(h, "GET", "/readyz", "", "").code, http.StatusServiceUnavailable)
}

func TestStoreDownIsReported(t *testing.T) {
	is := is.New(t)
	h, store := newTestServer(t)
	store.SetDown(true)
	is.Equal(serve(h, "POST", "/v1/contracts", "", createBody).code, http.StatusServiceUnavailable)
	store.SetDown(false)
	is.Equal(serve(h, "POST", "/v1/contracts", "", createBody).code, http.StatusCreated)
}

// Guards against an operator who repeats a change that can't succeed: the store holds another history than the process.
func TestOtherHistoryIsReported(t *testing.T) {
	is := is.New(t)
	h, store := newTestServer(t)
	is.Equal(serve(h, "POST", "/v1/contracts", "", createBody).code, http.StatusCreated)
	store.Delete(journ.EntryKey(1))
	change := journ.Change{ID: "other", Op: journ.AddKey, Who: "test", Key: &fleet.SealedKey{}}
	_, err := journ.New(store, func() {}).Commit(t.Context(), change)
	is.NoErr(err)
	res := serve(h, "POST", "/v1/keys/add?number=1", "", `{"id":"k1","who":"jana"}`)
	is.Equal(res.code, http.StatusInternalServerError)
	is.True(strings.Contains(res.body, "other entries"))
}

func TestKeyChanges(t *testing.T) {
	is := is.New(t)
	h, _ := newTestServer(t)
	is.Equal(serve(h, "POST", "/v1/keys/add?number=1", "", `{"id":"k1","who":"jana"}`).code, http.StatusOK)
	is.Equal(serve(h, "POST", "/v1/keys/drop?number=1", "", `{"id":"k2","who":"jana"}`).code, http.StatusConflict)
	is.Equal(serve(h, "POST", "/v1/keys/add?number=300", "", `{"id":"k3","who":"jana"}`).code, http.StatusBadRequest)
	is.Equal(serve(h, "POST", "/v1/keys/turn?number=1", "", `{"id":"k4","who":"jana"}`).code, http.StatusNotFound)
}

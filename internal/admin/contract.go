package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/roster"
	"github.com/bergamotrun/bergamotrun/internal/view"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

// Journal is the journal as the API uses it.
type Journal interface {
	Commit(ctx context.Context, change journ.Change) (journ.Entry, error)
	History(ctx context.Context, name string) ([]journ.Entry, error)
	CatchUp(ctx context.Context) error
	View(f func(*journ.State))
}

// Roster is what the API shows of the processes.
type Roster interface {
	Status(ctx context.Context, name string) roster.Status
	Members(service uint32) []view.Record
}

// API is the operators' API of an entry.
type API struct {
	journal Journal
	roster  Roster
	secret  fleet.Secret
	log     *zap.Logger
}

// NewAPI returns the API over a journal and a roster; new packet keys are sealed under secret.
func NewAPI(journal Journal, members Roster, secret fleet.Secret, log *zap.Logger) *API {
	return &API{journal: journal, roster: members, secret: secret, log: log}
}

func (a *API) register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/contracts", a.list)
	mux.HandleFunc("POST /v1/contracts", a.create)
	mux.HandleFunc("GET /v1/contracts/{name}", a.show)
	mux.HandleFunc("PUT /v1/contracts/{name}", a.update)
	mux.HandleFunc("DELETE /v1/contracts/{name}", a.retire)
	mux.HandleFunc("GET /v1/contracts/{name}/history", a.history)
	mux.HandleFunc("GET /v1/contracts/{name}/status", a.status)
	mux.HandleFunc("GET /v1/contracts/{name}/members", a.members)
	mux.HandleFunc("POST /v1/keys/{op}", a.key)
}

// ChangeRequest is the body of a change.
type ChangeRequest struct {
	// ID is the change identifier; a repeat with the same one is applied once.
	ID       string          `json:"id"`
	Who      string          `json:"who"`
	Why      string          `json:"why"`
	Contract *contr.Contract `json:"contract,omitempty"`
}

// ChangeResponse is the answer to a change.
type ChangeResponse struct {
	Record contr.Record `json:"record"`
	// Applied is the journal's entry that made the change.
	Applied journ.Entry `json:"applied"`
}

// ErrorResponse is the answer to a call that can't be served.
type ErrorResponse struct {
	Error string `json:"error"`
	// Fields names the bad fields of a contract.
	Fields contr.FieldErrors `json:"fields,omitempty"`
	// Serial is the current serial, in an answer to a stale change.
	Serial uint64 `json:"serial,omitempty"`
}

func writeError(w http.ResponseWriter, code int, p ErrorResponse) { writeJSON(w, code, p) }

// fail answers by what an error means for the client.
func (a *API) fail(w http.ResponseWriter, err error) {
	var fields contr.FieldErrors
	stale, isStale := journ.IsErrStale(err)
	switch {
	case errors.As(err, &fields):
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: err.Error(), Fields: fields})
	case isStale:
		w.Header().Set("ETag", etag(stale.Current))
		writeError(w, http.StatusPreconditionFailed, ErrorResponse{Error: err.Error(), Serial: stale.Current})
	case journ.IsErrNotExist(err):
		writeError(w, http.StatusNotFound, ErrorResponse{Error: err.Error()})
	case journ.IsErrConflict(err):
		writeError(w, http.StatusConflict, ErrorResponse{Error: err.Error()})
	case errors.Is(err, journ.ErrOutcomeUnknown):
		w.Header().Set("Retry-After", "2")
		writeError(w, http.StatusGatewayTimeout, ErrorResponse{Error: err.Error()})
	default:
		a.log.Warn("the store failed a call of the API", zap.Error(err))
		w.Header().Set("Retry-After", "2")
		writeError(w, http.StatusServiceUnavailable, ErrorResponse{Error: "the store doesn't answer; repeat with the same identifier: " + err.Error()})
	}
}

func etag(serial uint64) string { return fmt.Sprintf(`"%d"`, serial) }

// read reads the body of a change. It answers itself when the body is bad.
func (a *API) read(w http.ResponseWriter, r *http.Request) (ChangeRequest, bool) {
	var req ChangeRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodySize))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, ErrorResponse{Error: fmt.Sprintf("body: more than %d bytes", maxBodySize)})
		return req, false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: "body: " + err.Error()})
		return req, false
	}
	var missing contr.FieldErrors
	if req.ID == "" {
		missing = append(missing, contr.FieldError{Field: "id", Reason: "is missing"})
	}
	if req.Who == "" {
		missing = append(missing, contr.FieldError{Field: "who", Reason: "is missing"})
	}
	if missing != nil {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: missing.Error(), Fields: missing})
		return req, false
	}
	return req, true
}

// readContract reads the body of a change that holds a contract, with its defaults filled in. It answers
// itself when the body is bad.
func (a *API) readContract(w http.ResponseWriter, r *http.Request) (ChangeRequest, contr.Contract, bool) {
	req, ok := a.read(w, r)
	if !ok {
		return req, contr.Contract{}, false
	}
	if req.Contract == nil {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: "contract: is missing"})
		return req, contr.Contract{}, false
	}
	return req, req.Contract.WithDefaults(), true
}

// match reads the serial that a change was made from. It answers itself when there is none.
func match(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	text := r.Header.Get("If-Match")
	if text == "" {
		writeError(w, http.StatusPreconditionRequired, ErrorResponse{Error: "If-Match: the serial that the change was made from is missing"})
		return 0, false
	}
	serial, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil || serial == 0 {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: fmt.Sprintf("If-Match = %q: must be a serial", text)})
		return 0, false
	}
	return serial, true
}

func (a *API) create(w http.ResponseWriter, r *http.Request) {
	req, c, ok := a.readContract(w, r)
	if !ok {
		return
	}
	a.commit(w, r, http.StatusCreated, journ.Change{Op: journ.Create, Name: c.Name, Contract: &c}, req)
}

func (a *API) update(w http.ResponseWriter, r *http.Request) {
	serial, ok := match(w, r)
	if !ok {
		return
	}
	req, c, ok := a.readContract(w, r)
	if !ok {
		return
	}
	a.commit(w, r, http.StatusOK, journ.Change{Op: journ.Update, Name: r.PathValue("name"), Match: serial, Contract: &c}, req)
}

func (a *API) retire(w http.ResponseWriter, r *http.Request) {
	serial, ok := match(w, r)
	if !ok {
		return
	}
	req, ok := a.read(w, r)
	if !ok {
		return
	}
	a.commit(w, r, http.StatusOK, journ.Change{Op: journ.Retire, Name: r.PathValue("name"), Match: serial}, req)
}

// commit makes a change and answers by it.
func (a *API) commit(w http.ResponseWriter, r *http.Request, code int, change journ.Change, req ChangeRequest) {
	change.ID, change.Who, change.Why, change.When = req.ID, req.Who, req.Why, time.Now().UTC()
	entry, err := a.journal.Commit(r.Context(), change)
	if err != nil {
		a.log.Info("change refused", zap.String("op", string(change.Op)), zap.String("contract", change.Name),
			zap.String("who", change.Who), zap.String("change", change.ID), zap.Error(err))
		a.fail(w, err)
		return
	}
	a.log.Info("change accepted", zap.String("op", string(entry.Change.Op)), zap.String("contract", entry.Change.Name),
		zap.String("who", entry.Change.Who), zap.String("why", entry.Change.Why), zap.String("change", entry.Change.ID),
		zap.Uint64("serial", entry.Position))
	record, _ := a.record(entry.Change.Name)
	w.Header().Set("ETag", etag(entry.Position))
	writeJSON(w, code, ChangeResponse{Record: record, Applied: entry})
}

func (a *API) record(name string) (r contr.Record, ok bool) {
	a.journal.View(func(s *journ.State) { r, ok = s.Record(name) })
	return r, ok
}

func (a *API) list(w http.ResponseWriter, _ *http.Request) {
	var records []contr.Record
	a.journal.View(func(s *journ.State) { records = s.Records() })
	writeJSON(w, http.StatusOK, records)
}

func (a *API) show(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	record, ok := a.record(name)
	if !ok {
		a.fail(w, journ.ErrNotExist{Name: name})
		return
	}
	w.Header().Set("ETag", etag(record.Serial))
	writeJSON(w, http.StatusOK, record)
}

func (a *API) history(w http.ResponseWriter, r *http.Request) {
	if err := a.journal.CatchUp(r.Context()); err != nil {
		a.fail(w, err)
		return
	}
	entries, err := a.journal.History(r.Context(), r.PathValue("name"))
	if err != nil {
		a.fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, entries)
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if _, ok := a.record(name); !ok {
		a.fail(w, journ.ErrNotExist{Name: name})
		return
	}
	writeJSON(w, http.StatusOK, a.roster.Status(r.Context(), name))
}

// AgentInfo is an agent of a service, as the API shows it.
type AgentInfo struct {
	Packets     string `json:"packets"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

func (a *API) members(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	record, ok := a.record(name)
	if !ok {
		a.fail(w, journ.ErrNotExist{Name: name})
		return
	}
	out := []AgentInfo{}
	for _, m := range a.roster.Members(record.Number) {
		out = append(out, AgentInfo{Packets: m.Packets.String(), Domain: m.Domain, State: m.State.String(), Incarnation: m.Incarnation})
	}
	writeJSON(w, http.StatusOK, out)
}

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

// Journal is the part of journ.Journal that the API uses.
type Journal interface {
	Commit(ctx context.Context, change journ.Change) (journ.Entry, error)
	History(ctx context.Context, name string) ([]journ.Entry, error)
	CatchUp(ctx context.Context) error
	View(f func(*journ.State))
}

// Roster provides the state of the deployment's processes.
type Roster interface {
	// Status returns the instances and the serial of the contract with this name that each has in force.
	Status(ctx context.Context, name string) roster.Status
	// ServiceAgents returns the records of the agents of the service with this number.
	ServiceAgents(service uint32) []view.Record
}

// API implements the operators' API of an entry.
type API struct {
	journal Journal
	roster  Roster
	secret  fleet.Secret
	log     *zap.Logger
}

// NewAPI returns an API that changes journal and shows the processes in a roster. New packet keys are sealed with secret.
func NewAPI(journal Journal, processes Roster, secret fleet.Secret, log *zap.Logger) *API {
	return &API{journal: journal, roster: processes, secret: secret, log: log}
}

func (a *API) registerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/contracts", a.listContracts)
	mux.HandleFunc("POST /v1/contracts", a.createContract)
	mux.HandleFunc("GET /v1/contracts/{name}", a.getContract)
	mux.HandleFunc("PUT /v1/contracts/{name}", a.updateContract)
	mux.HandleFunc("DELETE /v1/contracts/{name}", a.retireContract)
	mux.HandleFunc("GET /v1/contracts/{name}/history", a.contractHistory)
	mux.HandleFunc("GET /v1/contracts/{name}/status", a.contractStatus)
	mux.HandleFunc("GET /v1/contracts/{name}/members", a.listAgents)
	mux.HandleFunc("POST /v1/keys/{op}", a.changeKey)
}

// ChangeRequest is the request body of a change.
type ChangeRequest struct {
	// ID identifies the change. A request that is repeated with the same ID is applied once.
	ID string `json:"id"`
	// Who and Why are recorded in the history.
	Who string `json:"who"`
	Why string `json:"why"`
	// Contract is required to create or update a contract.
	Contract *contr.Contract `json:"contract,omitempty"`
}

// ChangeResponse is the response to a change of a contract.
type ChangeResponse struct {
	Record contr.Record `json:"record"`
	// Applied is the journal entry of the change.
	Applied journ.Entry `json:"applied"`
}

// ErrorResponse is the body of the API's error responses.
type ErrorResponse struct {
	Error string `json:"error"`
	// Fields lists the invalid fields of the request or its contract.
	Fields contr.FieldErrors `json:"fields,omitempty"`
	// Serial is the contract's current serial if the change was based on an outdated one.
	Serial uint64 `json:"serial,omitempty"`
}

func writeError(w http.ResponseWriter, code int, response ErrorResponse) {
	writeJSON(w, code, response)
}

// writeFailure writes the error response that corresponds to err.
func (a *API) writeFailure(w http.ResponseWriter, err error) {
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
	case errors.Is(err, journ.ErrOtherHistory):
		a.log.Error("change refused: the store holds another history", zap.Error(err))
		writeError(w, http.StatusInternalServerError, ErrorResponse{Error: err.Error()})
	default:
		a.log.Warn("API request failed with a store error", zap.Error(err))
		w.Header().Set("Retry-After", "2")
		writeError(w, http.StatusServiceUnavailable, ErrorResponse{Error: "the store doesn't answer; repeat with the same identifier: " + err.Error()})
	}
}

func etag(serial uint64) string { return fmt.Sprintf(`"%d"`, serial) }

// readRequest decodes and validates the body of a change. If it is invalid, readRequest writes the error response and
// returns false.
func (a *API) readRequest(w http.ResponseWriter, r *http.Request) (ChangeRequest, bool) {
	var req ChangeRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, ErrorResponse{Error: fmt.Sprintf("body: more than %d bytes", maxBodyBytes)})
		return req, false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: "body: " + err.Error()})
		return req, false
	}
	var fieldErrors contr.FieldErrors
	if req.ID == "" {
		fieldErrors = append(fieldErrors, contr.FieldError{Field: "id", Reason: "is missing"})
	}
	if req.Who == "" {
		fieldErrors = append(fieldErrors, contr.FieldError{Field: "who", Reason: "is missing"})
	}
	if fieldErrors != nil {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: fieldErrors.Error(), Fields: fieldErrors})
		return req, false
	}
	return req, true
}

// readContractRequest decodes the body of a change with a contract and returns the contract with defaults applied. If the
// body is invalid, readContractRequest writes the error response and returns false.
func (a *API) readContractRequest(w http.ResponseWriter, r *http.Request) (ChangeRequest, contr.Contract, bool) {
	req, ok := a.readRequest(w, r)
	if !ok {
		return req, contr.Contract{}, false
	}
	if req.Contract == nil {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: "contract: is missing"})
		return req, contr.Contract{}, false
	}
	return req, req.Contract.WithDefaults(), true
}

// readIfMatch returns the contract serial that the change is based on. If the header is missing or invalid, readIfMatch
// writes the error response and returns false.
func readIfMatch(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	header := r.Header.Get("If-Match")
	if header == "" {
		writeError(w, http.StatusPreconditionRequired, ErrorResponse{Error: "If-Match: the serial that the change was made from is missing"})
		return 0, false
	}
	serial, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil || serial == 0 {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: fmt.Sprintf("If-Match = %q: must be a serial", header)})
		return 0, false
	}
	return serial, true
}

func (a *API) createContract(w http.ResponseWriter, r *http.Request) {
	req, c, ok := a.readContractRequest(w, r)
	if !ok {
		return
	}
	a.commitChange(w, r, http.StatusCreated, journ.Change{Op: journ.Create, Name: c.Name, Contract: &c}, req)
}

func (a *API) updateContract(w http.ResponseWriter, r *http.Request) {
	serial, ok := readIfMatch(w, r)
	if !ok {
		return
	}
	req, c, ok := a.readContractRequest(w, r)
	if !ok {
		return
	}
	a.commitChange(w, r, http.StatusOK, journ.Change{Op: journ.Update, Name: r.PathValue("name"), Match: serial, Contract: &c}, req)
}

func (a *API) retireContract(w http.ResponseWriter, r *http.Request) {
	serial, ok := readIfMatch(w, r)
	if !ok {
		return
	}
	req, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	a.commitChange(w, r, http.StatusOK, journ.Change{Op: journ.Retire, Name: r.PathValue("name"), Match: serial}, req)
}

// commitChange commits a change and writes the response.
func (a *API) commitChange(w http.ResponseWriter, r *http.Request, code int, change journ.Change, req ChangeRequest) {
	change.ID, change.Who, change.Why, change.When = req.ID, req.Who, req.Why, time.Now().UTC()
	entry, err := a.journal.Commit(r.Context(), change)
	if err != nil {
		a.log.Info("change refused", zap.String("op", string(change.Op)), zap.String("contract", change.Name),
			zap.String("who", change.Who), zap.String("change", change.ID), zap.Error(err))
		a.writeFailure(w, err)
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

func (a *API) listContracts(w http.ResponseWriter, _ *http.Request) {
	var records []contr.Record
	a.journal.View(func(s *journ.State) { records = s.Records() })
	writeJSON(w, http.StatusOK, records)
}

func (a *API) getContract(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	record, ok := a.record(name)
	if !ok {
		a.writeFailure(w, journ.ErrNotExist{Name: name})
		return
	}
	w.Header().Set("ETag", etag(record.Serial))
	writeJSON(w, http.StatusOK, record)
}

func (a *API) contractHistory(w http.ResponseWriter, r *http.Request) {
	if err := a.journal.CatchUp(r.Context()); err != nil {
		a.writeFailure(w, err)
		return
	}
	entries, err := a.journal.History(r.Context(), r.PathValue("name"))
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, entries)
}

func (a *API) contractStatus(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if _, ok := a.record(name); !ok {
		a.writeFailure(w, journ.ErrNotExist{Name: name})
		return
	}
	writeJSON(w, http.StatusOK, a.roster.Status(r.Context(), name))
}

// AgentInfo describes an agent of a service.
type AgentInfo struct {
	Packets     string `json:"packets"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
}

func (a *API) listAgents(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	record, ok := a.record(name)
	if !ok {
		a.writeFailure(w, journ.ErrNotExist{Name: name})
		return
	}
	agents := []AgentInfo{}
	for _, m := range a.roster.ServiceAgents(record.Number) {
		agents = append(agents, AgentInfo{Packets: m.Packets.String(), Domain: m.Domain, State: m.State.String(), Incarnation: m.Incarnation})
	}
	writeJSON(w, http.StatusOK, agents)
}

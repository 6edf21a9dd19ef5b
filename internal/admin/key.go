package admin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotrun/bergamotrun/internal/fleet"
	"github.com/bergamotrun/bergamotrun/internal/journ"
)

// KeyChangeResponse is the response to a change of a packet key.
type KeyChangeResponse struct {
	Number uint8 `json:"number"`
	// Serial is the position of the change in the journal.
	Serial uint64 `json:"serial"`
}

// keyOps maps the operations in the API's paths to those of the journal.
var keyOps = map[string]journ.Op{"add": journ.AddKey, "use": journ.UseKey, "drop": journ.DropKey}

// changeKey adds a packet key, uses it for new flows, or drops it. The query parameter "number" selects the key.
func (a *API) changeKey(w http.ResponseWriter, r *http.Request) {
	op, ok := keyOps[r.PathValue("op")]
	if !ok {
		writeError(w, http.StatusNotFound, ErrorResponse{Error: "a key change is add, use or drop"})
		return
	}
	number, err := strconv.ParseUint(r.URL.Query().Get("number"), 10, 8)
	if err != nil {
		writeError(w, http.StatusBadRequest, ErrorResponse{Error: fmt.Sprintf("number = %q: must be 0 to 255", r.URL.Query().Get("number"))})
		return
	}
	req, ok := a.readRequest(w, r)
	if !ok {
		return
	}
	sealed := fleet.SealedKey{Number: uint8(number)}
	if op == journ.AddKey {
		if sealed, err = a.secret.Seal(fleet.NewKey(uint8(number))); err != nil {
			a.writeFailure(w, err)
			return
		}
	}
	change := journ.Change{ID: req.ID, Op: op, Who: req.Who, Why: req.Why, When: time.Now().UTC(), Key: &sealed}
	entry, err := a.journal.Commit(r.Context(), change)
	if err != nil {
		a.writeFailure(w, err)
		return
	}
	a.log.Info("key change accepted", zap.String("op", string(op)), zap.Uint64("number", number),
		zap.String("who", req.Who), zap.Uint64("serial", entry.Position))
	writeJSON(w, http.StatusOK, KeyChangeResponse{Number: uint8(number), Serial: entry.Position})
}

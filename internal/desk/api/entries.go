package api

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

// handleForget deletes the lasting record of a lost entry. The event is recorded
// even if the store's answer was lost, since the deletion may have taken effect.
func (s *Service) handleForget(w http.ResponseWriter, r *http.Request) {
	id, operator := unit.EntryID(chi.URLParam(r, "id")), requestOperator(r).Name
	err := s.members.Forget(r.Context(), id)
	s.log.Info("operator request to forget a lost entry", "operator", operator, "entry", id, "error", err)
	if err == nil || errors.Is(err, store.ErrUnknown) {
		what := "lasting record deleted"
		if err != nil {
			what = "lasting record perhaps deleted"
		}
		s.recorder.Record(journal.Event{
			Time:     time.Now(),
			Subjects: []journal.Subject{{Kind: journal.KindEntry, ID: string(id)}},
			What:     what,
			Why:      "operator " + string(operator) + " states that the instance is gone",
		})
	}
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	respond(w, http.StatusOK, answer.ForgottenEntry{ID: id})
}

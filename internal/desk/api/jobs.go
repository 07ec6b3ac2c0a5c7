package api

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/queue"
)

func (s *Service) handleSubmit(w http.ResponseWriter, r *http.Request) {
	body, release, err := s.limiter.ReadBody(w, r, maxBodyBytes)
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	defer release()
	var j queue.Job
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&j); err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	if j.ID == "" {
		j.ID = unit.JobID(strings.ToLower(rand.Text()))
	}
	j.Author = requestOperator(r).Name
	if j.Time == 0 {
		j.Time = time.Now().UnixMilli()
	}
	err = s.jobs.Submit(r.Context(), j)
	s.log.Info("operator job submission", "operator", j.Author, "job", j.ID, "class", j.Class, "tasks", j.Tasks, "error", err)
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	w.Header().Set("Location", "/v1/jobs/"+string(j.ID))
	respond(w, http.StatusCreated, j)
}

func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := unit.JobID(chi.URLParam(r, "id"))
	err := s.jobs.Cancel(r.Context(), id)
	s.log.Info("operator job cancellation", "operator", requestOperator(r).Name, "job", id, "error", err)
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	respond(w, http.StatusOK, answer.CancelledJob{ID: id})
}

func (s *Service) handleJob(w http.ResponseWriter, r *http.Request) {
	record, err := s.jobs.Job(r.Context(), unit.JobID(chi.URLParam(r, "id")))
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	respond(w, http.StatusOK, record)
}

func (s *Service) handleJobs(w http.ResponseWriter, r *http.Request) {
	records, err := s.jobs.Jobs(r.Context())
	if err != nil {
		respondFault(w, faultFromError(err))
		return
	}
	respond(w, http.StatusOK, answer.Jobs{Jobs: records})
}

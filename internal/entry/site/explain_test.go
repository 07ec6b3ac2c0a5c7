package site

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/job/graph"
	"github.com/monsoonfold/monsoonfold/internal/job/owner"
	"github.com/monsoonfold/monsoonfold/internal/job/scheduler"
)

// oneJob explains the job j, or fails.
type oneJob struct{ err error }

func (o oneJob) Explain(_ context.Context, id unit.JobID) (scheduler.Explanation, bool, error) {
	return scheduler.Explanation{
		Job: "j", Queue: "quotes", State: graph.Queued, Due: time.Now(), StartsHeld: true,
		Steps: []scheduler.WaitingStep{{Tasks: 3, Reason: scheduler.WaitCapacity, JobsBefore: 7, Free: 500, Total: 64000}},
	}, id == "j", o.err
}

func (oneJob) Owner() unit.EntryID { return "edge-2" }

// TestExplainHandler guards against an operator who is not told why a job waits, or which
// entry knows it.
func TestExplainHandler(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		err    error
		status int
		want   []string // parts of the text
	}{
		{"waits", "/explain?job=j", nil, http.StatusOK, []string{"3 tasks wait: no worker has the capacity", "500 of 64000", "jobs before it", "starts held"}},
		{"unknown job", "/explain?job=k", nil, http.StatusNotFound, nil},
		{"no job named", "/explain", nil, http.StatusBadRequest, []string{"/explain?job=ID"}},
		{"not the owner", "/explain?job=j", owner.ErrNotOwner, http.StatusMisdirectedRequest, []string{"edge-2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			explainHandler(oneJob{tt.err}, oneJob{})(w, httptest.NewRequest(http.MethodGet, tt.path, nil))
			if diff := cmp.Diff(tt.status, w.Code); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			for _, part := range tt.want {
				if !strings.Contains(w.Body.String(), part) {
					t.Errorf("text lacks %q:\n%s", part, w.Body)
				}
			}
		})
	}
}

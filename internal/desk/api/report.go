package api

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/fleet/roster"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/peer/message"
	"github.com/monsoonfold/monsoonfold/internal/report/burn"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// peerTimeout bounds the wait for the answers of the other entries.
const peerTimeout = 2 * time.Second

// handleBurn reports the error budgets from the tallies of all entries. Entries
// that don't answer in time are listed as missing.
func (s *Service) handleBurn(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var tallies [][]burn.Tally
	var missing []unit.EntryID
	var wg sync.WaitGroup
	for _, e := range s.members.View().Entries {
		if e.ID == s.members.Self() {
			continue
		}
		wg.Go(func() {
			reply, err := s.peers.Call(ctx, e.ID, message.BurnRequest{})
			burnReply, ok := reply.(message.BurnReply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || !ok {
				missing = append(missing, e.ID)
				return
			}
			tallies = append(tallies, burnReply.Tallies)
		})
	}
	wg.Wait()
	report := s.budgets.Report(time.Now(), tallies...)
	slices.Sort(missing)
	report.Missing = missing
	respond(w, http.StatusOK, report)
}

func (s *Service) handleBurnRequest(context.Context, unit.EntryID, message.Message) (message.Message, error) {
	return message.BurnReply{Tallies: s.budgets.Tallies(time.Now())}, nil
}

func (s *Service) handleStatus(w http.ResponseWriter, _ *http.Request) {
	now, current, view := time.Now(), s.config.Current(), s.members.View()
	var lost []answer.LostEntry
	for _, l := range s.members.Lost() {
		lost = append(lost, answer.LostEntry{
			Entry: l.ID, Since: l.Since, BlocksChanges: l.KeptServing || now.Sub(l.Since) <= roster.DepartureGrace, BlocksSlots: true,
		})
	}
	respond(w, http.StatusOK, answer.Status{
		Entry:            s.members.Self(),
		View:             view.Entries,
		Lost:             lost,
		Configuration:    current.Number,
		Author:           current.Author,
		Registered:       now.Before(s.members.ValidUntil()),
		MayStartTasks:    now.Before(s.config.StartUntil()),
		MayServeRequests: now.Before(s.config.ServeUntil()),
	})
}

// handleExplain collects the events of all entries, since any of them may have
// made decisions about the subject.
func (s *Service) handleExplain(w http.ResponseWriter, r *http.Request) {
	id, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil || id == "" {
		respondFault(w, faultPath)
		return
	}
	subject := journal.Subject{Kind: journal.Kind(chi.URLParam(r, "kind")), ID: id}
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	self := s.members.Self()
	entries := s.members.View().Entries
	events := make([]answer.EntryEvents, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		if e.ID == self {
			events[i] = answer.EntryEvents{Entry: self, Since: s.recorder.Since(), Events: s.recorder.Explain(subject)}
			continue
		}
		wg.Go(func() { events[i] = s.explainAtPeer(ctx, e.ID, subject) })
	}
	wg.Wait()
	if !slices.ContainsFunc(entries, func(e roster.Entry) bool { return e.ID == self }) {
		events = append(events, answer.EntryEvents{Entry: self, Since: s.recorder.Since(), Events: s.recorder.Explain(subject)})
	}
	respond(w, http.StatusOK, answer.Explanation{Subject: subject, Entries: events})
}

func (s *Service) explainAtPeer(ctx context.Context, peer unit.EntryID, subject journal.Subject) answer.EntryEvents {
	reply, err := s.peers.Call(ctx, peer, message.ExplainRequest{Subject: subject})
	if err != nil {
		return answer.EntryEvents{Entry: peer, Error: err.Error()}
	}
	a, ok := reply.(message.ExplainReply)
	if !ok {
		return answer.EntryEvents{Entry: peer, Error: "answered by " + reply.Kind().String()}
	}
	return answer.EntryEvents{Entry: peer, Since: a.Since, Events: a.Events}
}

func (s *Service) handleExplainRequest(_ context.Context, _ unit.EntryID, m message.Message) (message.Message, error) {
	a, ok := m.(message.ExplainRequest)
	if !ok {
		return nil, errors.Errorf("ask: got %s", m.Kind())
	}
	return message.ExplainReply{Since: s.recorder.Since(), Events: s.recorder.Explain(a.Subject)}, nil
}

package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/desk/client"
	"github.com/monsoonfold/monsoonfold/internal/report/journal"
)

// newExplain builds the command that shows the events of a subject and the reasons
// for them.
func newExplain() command {
	sub := newSubcommand("explain", "tell what happened to a subject, when and why", "monsoonfold explain zone guj-hazira")
	var kind, id string
	sub.AddPositionalValue(&kind, "kind", 1, true, "task, job, request, worker, zone, class, shard or entry")
	sub.AddPositionalValue(&id, "id", 2, true, "its id; of a task job/index")
	return newQuery(sub, func(ctx context.Context, c *client.Client) (answer.Explanation, error) {
		return c.Explain(ctx, journal.Subject{Kind: journal.Kind(kind), ID: id})
	}, func(s Streams, e answer.Explanation) error {
		printExplanation(s, e)
		return nil
	})
}

// printExplanation prints the events of all entries in order of time. Then it
// prints since when each entry has recorded events, or that it didn't answer.
func printExplanation(s Streams, e answer.Explanation) {
	var events []journal.Event
	for _, from := range e.Entries {
		events = append(events, from.Events...)
	}
	slices.SortStableFunc(events, func(a, b journal.Event) int { return a.Time.Compare(b.Time) })
	for _, event := range events {
		fmt.Fprintf(s.Out, "%s  %s\n", event.Time.UTC().Format(time.RFC3339), event.What)
		if event.Why != "" {
			fmt.Fprintf(s.Out, "    because %s\n", event.Why)
		}
	}
	if len(events) == 0 {
		fmt.Fprintf(s.Out, "nothing is known about %s %s\n", e.Subject.Kind, e.Subject.ID)
	}
	for _, from := range e.Entries {
		if from.Error != "" {
			fmt.Fprintf(s.Out, "%s did not answer: %s\n", from.Entry, from.Error)
			continue
		}
		fmt.Fprintf(s.Out, "%s knows what happened since %s\n", from.Entry, from.Since.UTC().Format(time.RFC3339))
	}
}

package backlog

import (
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	logs "github.com/monsoonfold/monsoonfold/internal/report/day"
)

// textSubmission is the message of the log line of a submission.
const textSubmission = "submission"

// arrivals are recorded submissions, by kind, since the first one.
type arrivals struct {
	kinds []Kind
	due   []time.Duration
}

// readFile reads the submissions from a file with the logs of entries.
func readFile(path string, queues map[string]Kind) (*arrivals, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Errorf("open log: %w", err)
	}
	defer file.Close()
	return readArrivals(file, queues)
}

// readArrivals reads the submissions to the given queues from the logs of entries. Those
// that failed or repeated an earlier one are left out.
func readArrivals(r io.Reader, queues map[string]Kind) (*arrivals, error) {
	lines, err := logs.Read(r, textSubmission)
	if err != nil {
		return nil, err
	}
	var a arrivals
	var first time.Time
	for _, l := range lines {
		queue, _ := l.Fields["queue"].(string)
		kind, known := queues[queue]
		if l.Text != textSubmission || !known || l.Fields["existed"] == true || l.Fields["error"] != nil {
			continue
		}
		if first.IsZero() {
			first = l.At
		}
		a.kinds = append(a.kinds, kind)
		a.due = append(a.due, l.At.Sub(first))
	}
	if len(a.kinds) == 0 {
		return nil, errors.New("the log has no submission to these queues")
	}
	return &a, nil
}

// jobs returns jobs with the recorded arrivals, up to the span. The logs do not show the
// sizes of jobs, so they are drawn as for generated ones, as are the jobs at the start.
func (a *arrivals) jobs(seed uint64, span time.Duration) []Job {
	var jobs []Job
	randoms := map[Kind]*rand.Rand{}
	for i := range shapes {
		s := &shapes[i]
		randoms[s.kind] = rand.New(rand.NewPCG(seed, uint64(i)))
		jobs = append(jobs, s.initialJobs(randoms[s.kind])...)
	}
	for i, k := range a.kinds {
		if a.due[i] < span {
			jobs = append(jobs, shapeOf(k).job(randoms[k], a.due[i]))
		}
	}
	return jobs
}

// parseQueues parses a list such as quotes=urgent,reports=batch.
func parseQueues(text string) (map[string]Kind, error) {
	queues := map[string]Kind{}
	for _, pair := range list(text) {
		queue, name, _ := strings.Cut(pair, "=")
		kind := Kind(name)
		if kind != Urgent && kind != Batch && kind != Serving {
			return nil, errors.Errorf("queue %q: want QUEUE=%s, %s or %s", pair, Urgent, Batch, Serving)
		}
		queues[queue] = kind
	}
	return queues, nil
}

package overload

import "github.com/monsoonfold/monsoonfold/internal/job/graph"

// Means holds the mean work of the recent jobs of each queue.
type Means map[graph.QueueID]recentMean

// recentMean is the mean of the last jobs.
type recentMean struct {
	count int
	mean  CoreSeconds
}

// maxMeanCount is the number of jobs from which on earlier ones count less and less.
const maxMeanCount = 200

// Add adds the work of a job.
func (m Means) Add(q graph.QueueID, work CoreSeconds) {
	r := m[q]
	r.count = min(r.count+1, maxMeanCount)
	r.mean += (work - r.mean) / CoreSeconds(r.count)
	m[q] = r
}

// Of returns the mean work of the jobs of a queue, or 0 if none was added.
func (m Means) Of(q graph.QueueID) CoreSeconds { return m[q].mean }

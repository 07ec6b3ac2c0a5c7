package day

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// maxWaitRows is the number of rows in the list of the longest waits.
const maxWaitRows = 5

// Write prints the day as tables.
func (d *Day) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "from %s for %s\n\n", d.From.Format(time.DateTime), d.To.Sub(d.From).Round(time.Second))
	d.writeQueues(w)
	d.writeOrganisations(w)
	d.writeTakeovers(w)
	writeCounts(w, "orders", d.Orders)
	writeCounts(w, "reasons of stops and paces", d.Reasons)
	if len(d.Rejections) > 0 {
		writeCounts(w, "jobs rejected for want of capacity", d.Rejections)
	}
	d.writeWaits(w)
	fmt.Fprintf(w, "leases of workers that expired\t%d\n", d.ExpiredLeases)
	if d.DroppedLines > 0 {
		fmt.Fprintf(w, "log lines left out by entries\t%d: the counts above are too low\n", d.DroppedLines)
	}
	return w.Flush()
}

func (d *Day) writeQueues(w io.Writer) {
	fmt.Fprintln(w, "queue\ttaken\tcompleted\tfailed\tcancelled\topen\tp50\tp99\tlongest idle step")
	for _, name := range slices.Sorted(maps.Keys(d.Queues)) {
		q := d.Queues[name]
		ended := 0
		for _, n := range q.FinalStates {
			ended += n
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", name, q.Taken, q.FinalStates["completed"], q.FinalStates["failed"],
			q.FinalStates["cancelled"], q.Taken-ended, q.quantile(0.5), q.quantile(0.99), q.LongestIdle)
	}
	fmt.Fprintln(w)
}

// quantile returns a quantile of the durations of ended jobs, rounded to
// milliseconds.
func (q *Queue) quantile(p float64) time.Duration {
	if len(q.Durations) == 0 {
		return 0
	}
	at := min(int(p*float64(len(q.Durations))), len(q.Durations)-1)
	return q.Durations[at].Round(time.Millisecond)
}

func (d *Day) writeTakeovers(w io.Writer) {
	fmt.Fprintln(w, "epoch\towner\tfrom the last start before to: takeover\tfirst start\tformer rate")
	for _, t := range d.Takeovers {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", t.Epoch, t.Entry, t.since(t.At), t.since(t.FirstStart), t.since(t.RecoveredAt))
	}
	fmt.Fprintln(w)
}

// since formats the time from the last start by the previous owner, or a dash if it
// is not known.
func (t *Takeover) since(at time.Time) string {
	if at.IsZero() || t.LastStart.IsZero() {
		return "-"
	}
	return at.Sub(t.LastStart).Round(time.Millisecond).String()
}

func writeCounts(w io.Writer, title string, counts map[string]int) {
	fmt.Fprintln(w, title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  %s\t%d\n", name, counts[name])
	}
	fmt.Fprintln(w)
}

// writeWaits lists the seconds with the longest waits.
func (d *Day) writeWaits(w io.Writer) {
	order := make([]int, len(d.Seconds))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return int(d.Seconds[b].LongestWait - d.Seconds[a].LongestWait) })
	fmt.Fprintln(w, "longest waits at second\twait\tstarts\tserving over target\tfilling slowed")
	for _, i := range order[:min(maxWaitRows, len(order))] {
		s := d.Seconds[i]
		if s.LongestWait == 0 {
			break
		}
		fmt.Fprintf(w, "%s%d\t%s\t%d\t%d\t%d\n", strings.Repeat(" ", 2), i, s.LongestWait.Round(time.Millisecond), s.Starts, s.OverTarget, s.Slowed)
	}
	fmt.Fprintln(w)
}

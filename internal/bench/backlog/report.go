package backlog

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// outcome is what a class of jobs was worth.
type outcome struct {
	jobs, inTime, late, useless int
	value, full                 float64
}

func (o *outcome) add(j *job) {
	v := overload.ValueAt(j.value, dayStart.Add(j.objective), dayStart.Add(j.useful), dayStart.Add(j.completed))
	o.jobs++
	o.full += j.value
	switch {
	case j.current != nil || v == 0:
		o.useless++
		return
	case v == j.value:
		o.inTime++
	default:
		o.late++
	}
	o.value += v
}

// share returns the value as a share of the full one.
func (o outcome) share() float64 {
	if o.full == 0 {
		return 0
	}
	return o.value / o.full
}

// summary is the outcome of a day.
type summary struct {
	kinds   map[Kind]*outcome
	largest map[Kind]*outcome // of the largest tenth
	serving float64           // share of the periods in which serving tasks should run and did
	bound   float64           // on the share of batch jobs
	paused  time.Duration
	stops   int
}

func summarize(d *day) summary {
	s := summary{kinds: map[Kind]*outcome{Urgent: {}, Batch: {}}, largest: map[Kind]*outcome{Urgent: {}, Batch: {}}, paused: d.paused, stops: d.stops}
	served, owed := 0, 0
	byKind := map[Kind][]*job{}
	for _, j := range d.jobs {
		if j.Kind == Serving {
			served += j.served
			owed += j.owed
			continue
		}
		s.kinds[j.Kind].add(j)
		byKind[j.Kind] = append(byKind[j.Kind], j)
	}
	for k, jobs := range byKind {
		slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(b.work(), a.work()) })
		for _, j := range jobs[:len(jobs)/10] {
			s.largest[k].add(j)
		}
	}
	s.serving = float64(served) / float64(max(owed, 1))
	s.bound = bound(byKind[Batch], d.available)
	return s
}

// tail is played after the last arrival, so that late work can complete.
const tail = 30 * time.Second

// Run plays all loads under all policies and prints the table.
func Run(ctx context.Context, out io.Writer, o Options) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "load\tpolicy\tclass\tin time\tlate\tno use\tvalue\tlargest tenth\tbound\tpaused\tstops\t")
	for _, l := range Loads() {
		for _, p := range Policies() {
			if !selected(o.Loads, l.Name) || !selected(o.Policies, p.Name) {
				continue
			}
			if err := ctx.Err(); err != nil {
				return errors.Errorf("replay: %w", err)
			}
			printRows(table, l.Name, p.Name, playAll(l, p, o))
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Errorf("write table: %w", err)
	}
	return nil
}

// selected reports whether a name is in the list, or the list is empty.
func selected(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// playAll plays a load under a policy with each seed, side by side.
func playAll(l Load, p Policy, o Options) []summary {
	all := make([]summary, len(o.Seeds))
	var played sync.WaitGroup
	turns := make(chan struct{}, maxParallel)
	for i, seed := range o.Seeds {
		turns <- struct{}{}
		played.Go(func() {
			d := newDay(l, p, o.jobs(l, seed), seed, o.Span)
			d.play(o.Span + tail)
			all[i] = summarize(d)
			<-turns
		})
	}
	played.Wait()
	return all
}

// jobs returns the jobs of a day.
func (o *Options) jobs(l Load, seed uint64) []Job {
	if o.recorded != nil {
		return o.recorded.jobs(seed, o.Span)
	}
	return generate(l, seed, o.Span)
}

// maxParallel is the number of days that are played side by side.
const maxParallel = 3

// printRows prints the sums of jobs and the mean shares over all seeds, by class.
func printRows(out io.Writer, load, policy string, all []summary) {
	var limit, serving float64
	var paused time.Duration
	stops := 0
	for _, s := range all {
		limit += s.bound / float64(len(all))
		serving += s.serving / float64(len(all))
		paused += s.paused / time.Duration(len(all))
		stops += s.stops
	}
	for _, k := range []Kind{Urgent, Batch} {
		var sum, largest outcome
		for _, s := range all {
			sum.merge(s.kinds[k])
			largest.merge(s.largest[k])
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%d\t%.3f\t%.3f\t", load, policy, k, sum.inTime, sum.late, sum.useless, sum.share(), largest.share())
		if k == Batch {
			fmt.Fprintf(out, "%.3f\t%.0fs\t%d\t\n", limit, paused.Seconds(), stops)
		} else {
			fmt.Fprintln(out, "\t\t\t")
		}
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t\t\t\t%.3f\t\t\t\t\t\n", load, policy, Serving, serving)
}

func (o *outcome) merge(other *outcome) {
	o.jobs += other.jobs
	o.inTime += other.inTime
	o.late += other.late
	o.useless += other.useless
	o.value += other.value
	o.full += other.full
}

package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// Options selects what Run measures. Empty fields take the default.
type Options struct {
	Firms    []string      // default: both
	Policies []string      // names, default: all; ratios need the baseline
	Seeds    []uint64      // default: 1 to 5
	Span     time.Duration // of each trace, default: 8 minutes
	Scale    float64       // of the workers and rates, default: 1, the firm's size
	Plots    string        // directory for SVG plots; none if empty
	Traces   string        // directory for the traces; none if empty
}

func (o *Options) setDefaults() {
	if len(o.Firms) == 0 {
		o.Firms = []string{FirmSaurashtra, FirmTenjin}
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1, 2, 3, 4, 5}
	}
	if o.Span == 0 {
		o.Span = 8 * time.Minute
	}
	if o.Scale == 0 {
		o.Scale = 1
	}
	if len(o.Policies) == 0 {
		for _, p := range Policies() {
			o.Policies = append(o.Policies, p.Name)
		}
	}
}

// Summary is the outcome of one policy on one seed, or on all seeds together.
type Summary struct {
	Firm           string
	Policy         string
	Seed           uint64 // 0 for all seeds together
	Classes        []ClassSummary
	Work           float64 // core hours of batch work that was retained
	OutWork        float64 // part of Work done while the zone was out of service
	Retained       float64 // fraction of the batch work in the zone that was retained when the zone went out
	ReplicaShare   float64 // fraction of the wanted replica seconds that ran, in zones in service
	Evictions      map[unit.ClassID]int
	Throttles      int
	replicaSeconds float64
	wantedSeconds  float64
	retainedWork   float64
	zoneWork       float64
}

// ClassSummary is the latency of one class of requests.
type ClassSummary struct {
	Name                unit.ClassID
	Bound               time.Duration
	P50, P99, P999      time.Duration
	Late                float64 // fraction of the requests over the bound
	histogram           *hdrhistogram.Histogram
	lateCount, requests int
}

// Excess returns how far the 99th percentile is over the bound, or 0.
func (c ClassSummary) Excess() time.Duration { return max(c.P99-c.Bound, 0) }

// Run replays every firm, policy and seed, and writes one table with a row for
// each and for all seeds together. Ratios are to the baseline of the same seeds.
func Run(out io.Writer, o Options) error {
	o.setDefaults()
	all, err := Measure(o)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "seeds %v, span %s, scale %.2f; latencies in ms; ratios to %s\n", o.Seeds, o.Span, o.Scale, Baseline); err != nil {
		return errors.Errorf("write table: %w", err)
	}
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "trace\tpolicy\tseed\tclass\tp50\tp99\tp99.9\ttarget\tlate %\texcess ratio\tbatch core-h\tratio\twhile out ratio\tkept\treplicas %\tevictions\tthrottles\t")
	for _, s := range all {
		base := find(all, s.Firm, Baseline, s.Seed)
		for i, c := range s.Classes {
			seed := "all"
			if s.Seed != 0 {
				seed = fmt.Sprint(s.Seed)
			}
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%s\t", s.Firm, s.Policy, seed, c.Name,
				ms(c.P50), ms(c.P99), ms(c.P999), ms(c.Bound), 100*c.Late, excessRatio(c, base, i))
			if i > 0 {
				fmt.Fprint(tw, "\t\t\t\t\t\t\t\n")
				continue
			}
			work, outWork := "?", "?"
			if base != nil {
				work, outWork = fmt.Sprintf("%.2f", s.Work/base.Work), fmt.Sprintf("%.2f", s.OutWork/base.OutWork)
			}
			fmt.Fprintf(tw, "%.2f\t%s\t%s\t%.2f\t%.2f\t%s\t%d\t\n", s.Work, work, outWork, s.Retained, 100*s.ReplicaShare, evictions(s.Evictions), s.Throttles)
		}
	}
	if err := tw.Flush(); err != nil {
		return errors.Errorf("write table: %w", err)
	}
	return nil
}

// Measure replays every firm, policy and seed, and returns a summary of each and
// one over all seeds for each policy.
func Measure(o Options) ([]Summary, error) {
	o.setDefaults()
	var all []Summary
	for _, firm := range o.Firms {
		traces := map[uint64]*Trace{}
		for _, seed := range o.Seeds {
			t := Generate(TraceOptions{Firm: firm, Seed: seed, Span: o.Span, Scale: o.Scale})
			if t == nil {
				return nil, errors.Errorf("firm %q is unknown", firm)
			}
			traces[seed] = t
			if err := saveTrace(o.Traces, t); err != nil {
				return nil, err
			}
		}
		series := map[string][][]float64{}
		for _, name := range o.Policies {
			i := slices.IndexFunc(Policies(), func(p Policy) bool { return p.Name == name })
			if i < 0 {
				return nil, errors.Errorf("policy %q is unknown", name)
			}
			var each []Summary
			for _, seed := range o.Seeds {
				r, err := Replay(traces[seed], Policies()[i])
				if err != nil {
					return nil, errors.Errorf("replay %s seed %d: %w", firm, seed, err)
				}
				each = append(each, summarize(traces[seed], name, r))
				if seed == o.Seeds[0] {
					series[name] = r.Series
				}
			}
			all = append(append(all, each...), merge(each))
		}
		if err := plotSeries(o, traces[o.Seeds[0]], series); err != nil {
			return nil, err
		}
	}
	if err := plotSummary(o, all); err != nil {
		return nil, err
	}
	return all, nil
}

func summarize(t *Trace, policy string, r *Result) Summary {
	s := Summary{
		Firm: t.Header.Firm, Policy: policy, Seed: t.Header.Seed, Work: r.Work / 3600, OutWork: r.OutWork / 3600,
		Evictions: r.Evictions, Throttles: r.Throttles, retainedWork: r.RetainedWork, zoneWork: r.ZoneWork, replicaSeconds: r.ReplicaSeconds, wantedSeconds: r.WantedSeconds,
	}
	for _, c := range t.Classes {
		if c.Kind == spec.KindRequest {
			i := len(s.Classes)
			s.Classes = append(s.Classes, ClassSummary{Name: c.Name, Bound: c.Target.Bound.Std(),
				histogram: r.Latency[i], lateCount: r.Late[i], requests: r.Requests[i]})
		}
	}
	s.compute()
	return s
}

// merge joins the summaries of several seeds.
func merge(each []Summary) Summary {
	m := Summary{Firm: each[0].Firm, Policy: each[0].Policy, Evictions: map[unit.ClassID]int{}}
	for _, c := range each[0].Classes {
		m.Classes = append(m.Classes, ClassSummary{Name: c.Name, Bound: c.Bound, histogram: hdrhistogram.New(100, 100e6, 3)})
	}
	for _, s := range each {
		for i, c := range s.Classes {
			m.Classes[i].histogram.Merge(c.histogram)
			m.Classes[i].lateCount += c.lateCount
			m.Classes[i].requests += c.requests
		}
		for class, n := range s.Evictions {
			m.Evictions[class] += n
		}
		m.Work += s.Work
		m.OutWork += s.OutWork
		m.Throttles += s.Throttles
		m.retainedWork += s.retainedWork
		m.zoneWork += s.zoneWork
		m.replicaSeconds += s.replicaSeconds
		m.wantedSeconds += s.wantedSeconds
	}
	m.compute()
	return m
}

func (s *Summary) compute() {
	for i := range s.Classes {
		c := &s.Classes[i]
		at := func(q float64) time.Duration { return time.Duration(c.histogram.ValueAtQuantile(q)) * time.Microsecond }
		c.P50, c.P99, c.P999 = at(50), at(99), at(99.9)
		c.Late = float64(c.lateCount) / float64(max(c.requests, 1))
	}
	s.ReplicaShare = s.replicaSeconds / max(s.wantedSeconds, 1)
	s.Retained = 1
	if s.zoneWork > 0 {
		s.Retained = s.retainedWork / s.zoneWork
	}
}

func find(all []Summary, firm, policy string, seed uint64) *Summary {
	for i := range all {
		if all[i].Firm == firm && all[i].Policy == policy && all[i].Seed == seed {
			return &all[i]
		}
	}
	return nil
}

func excessRatio(c ClassSummary, base *Summary, i int) string {
	switch {
	case base == nil:
		return "?"
	case base.Classes[i].Excess() == 0 && c.Excess() == 0:
		return "-"
	case base.Classes[i].Excess() == 0:
		return "worse"
	}
	return fmt.Sprintf("%.2f", float64(c.Excess())/float64(base.Classes[i].Excess()))
}

func evictions(by map[unit.ClassID]int) string {
	var parts []string
	for _, c := range slices.Sorted(maps.Keys(by)) {
		parts = append(parts, fmt.Sprintf("%s %d", c, by[c]))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// Options are the settings of a run.
type Options struct {
	Entries []int
	Span    time.Duration // virtual time of each simulated shard
	Pace    time.Duration // over which paced calls are spread
	Effort  Effort
	JSON    string // file for the whole result, or empty
}

// DefaultOptions has 4, 6 and 9 entries in each availability zone.
func DefaultOptions() Options {
	return Options{Entries: []int{28, 42, 63}, Span: time.Minute, Pace: time.Second, Effort: DefaultEffort}
}

// Limits are the budget of section 1.6 and the rates of the store in 1.4.
type Limits struct {
	Cores  float64
	Memory float64
	Bytes  float64
	Reads  float64
	Writes float64 // of the "several hundred" per second
}

// Budget returns the limits of the design page.
func Budget() Limits {
	return Limits{Cores: 0.024, Memory: 32 << 20, Bytes: 8 << 10, Reads: 2000, Writes: 300}
}

// Result is everything that a run found.
type Result struct {
	Machine  string      `json:"machine"`
	Measured Measured    `json:"measured"`
	Sizes    []SizeTable `json:"sizes"`
}

// SizeTable is the model at one number of entries.
type SizeTable struct {
	Target    Target      `json:"target"`
	Ownership Ownership   `json:"ownership"`
	Peak      []Figure    `json:"peak"`  // of an entry with the mean number of shards
	Most      []Figure    `json:"most"`  // of the entry with the most shards
	Quiet     []Figure    `json:"quiet"` // without starts
	Store     []StoreLoad `json:"store"`
	Failures  []Failure   `json:"failures"`
	Verdicts  []Verdict   `json:"verdicts"`
}

// Verdict compares a figure with its limit.
type Verdict struct {
	Reading string  `json:"reading"` // what is taken as an instance
	What    string  `json:"what"`
	Value   float64 `json:"value"`
	Limit   float64 `json:"limit"`
}

// Holds reports whether the value is within the limit.
func (v Verdict) Holds() bool { return v.Value <= v.Limit }

// Measure runs all probes.
func Measure(o Options) (*Measured, error) {
	m := &Measured{Base: resident()}
	t := ScaleTarget(1)
	schedulers := []probe{
		schedulerProbe(probePeak, t.Load(true), shardSizes, o.Span),
		schedulerProbe(probeQuiet, t.Load(false), shardSizes, o.Span),
	}
	// The connections come last: what they leave for later would count in the heap
	// of others.
	for _, p := range slices.Concat(probes, schedulers, wireProbes(o.Pace)) {
		series, err := p.measure(o.Effort)
		if err != nil {
			return nil, err
		}
		m.Series = append(m.Series, series...)
	}
	return m, nil
}

// resident returns the resident bytes of the process, or 0 if the system does
// not tell.
func resident() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}

// Table works the model out at one size.
func (m *Measured) Table(t Target) (SizeTable, error) {
	table := SizeTable{Target: t, Ownership: t.Own()}
	var faults []error
	figures := func(shards float64, peak bool) []Figure {
		f, err := m.Figures(t, shards, peak)
		faults = append(faults, err)
		return f
	}
	table.Peak = figures(table.Ownership.Mean, true)
	table.Most = figures(float64(table.Ownership.Most), true)
	table.Quiet = figures(table.Ownership.Mean, false)
	var err error
	table.Store, err = m.Store(t)
	faults = append(faults, err)
	table.Failures, err = m.Failures(t)
	faults = append(faults, err)
	table.Verdicts = m.verdicts(table)
	return table, errors.Join(faults...)
}

// verdicts compares the costs with the budget under each reading of "instance".
func (m *Measured) verdicts(t SizeTable) []Verdict {
	limits := Budget()
	var all []Verdict
	compare := func(reading string, c Cost, memory float64) {
		all = append(all,
			Verdict{reading, "cores", c.Cores, limits.Cores},
			Verdict{reading, "bytes/s", c.Bytes, limits.Bytes},
			Verdict{reading, "memory", memory, limits.Memory})
	}
	workers, entries := float64(t.Target.Workers), float64(t.Target.Entries)
	for _, load := range []struct {
		name    string
		figures []Figure
	}{{"at peak", t.Peak}, {"without starts", t.Quiet}} {
		worker, entry := Sum(load.figures, Worker), Sum(load.figures, EntryRoles...)
		compare("worker "+load.name, worker, worker.Memory)
		compare("mean of all instances "+load.name, worker.Times(workers).Add(entry.Times(entries)).Times(1/(workers+entries)),
			(worker.Memory*workers+m.Resident(entry.Memory)*entries)/(workers+entries))
		compare("entry "+load.name, entry, m.Resident(entry.Memory))
	}
	most := Sum(t.Most, EntryRoles...)
	compare("entry with most shards at peak", most, m.Resident(most.Memory))
	var reads, writes float64
	for _, s := range t.Store {
		reads += s.Reads
		writes += s.Writes
	}
	return append(all, Verdict{"store", "reads/s", reads, limits.Reads}, Verdict{"store", "writes/s", writes, limits.Writes})
}

// Run measures, works the model out and prints the tables.
func Run(out io.Writer, o Options) error {
	began, used := time.Now(), processorUsed()
	m, err := Measure(o)
	if err != nil {
		return err
	}
	r := Result{Machine: machine(), Measured: *m}
	for _, n := range o.Entries {
		table, err := m.Table(ScaleTarget(n))
		if err != nil {
			return err
		}
		r.Sizes = append(r.Sizes, table)
	}
	if o.JSON != "" {
		data, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return errors.Errorf("encode result: %w", err)
		}
		if err := os.WriteFile(o.JSON, append(data, '\n'), 0o644); err != nil {
			return errors.Errorf("write result: %w", err)
		}
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	text := r.text()
	text += fmt.Sprintf("\nrun: %.0f s, %.0f s of processor time, %.0f MB taken from the system at most\n",
		time.Since(began).Seconds(), (processorUsed() - used).Seconds(), float64(mem.Sys)/(1<<20))
	if _, err := io.WriteString(out, text); err != nil {
		return errors.Errorf("write table: %w", err)
	}
	return nil
}

func machine() string {
	return fmt.Sprintf("%s/%s, %d cores, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

func (r Result) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "machine: %s; process before the probes: %s resident\n", r.Machine, size(r.Measured.Base))
	fmt.Fprintf(&b, "\nslopes (spread: range of repeated runs over their median; worst: largest residual over the largest value)\n")
	// Series without any value are those of events that a load does not have.
	series := slices.DeleteFunc(slices.Clone(r.Measured.Series), func(s Series) bool { return s.Line == Line{} })
	table(&b, "probe\tpackage\tquantity\tof\tintercept\tslope\tworst\tspread\tvalues", len(series), func(i int) string {
		s := series[i]
		var spread float64
		var values []string
		for _, p := range s.Points {
			spread = max(spread, p.Spread)
			values = append(values, fmt.Sprintf("%.0f: %s", p.X, short(p.Y)))
		}
		noise := "-"
		if spread > 0 {
			noise = percent(spread)
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", s.Probe, s.Package, s.Quantity, s.Of,
			short(s.Line.Intercept), short(s.Line.Slope), percent(s.Line.Worst), noise, strings.Join(values, ", "))
	})
	for _, t := range r.Sizes {
		fmt.Fprintf(&b, "\n%d entries: %.2f shards each, at most %d; at most %d owned in one zone and %d in one region\n",
			t.Target.Entries, t.Ownership.Mean, t.Ownership.Most, t.Ownership.Zone, t.Ownership.Region)
		figures(&b, "at peak, mean number of shards", t.Peak)
		figures(&b, "without starts, mean number of shards", t.Quiet)
		fmt.Fprintf(&b, "\nstore at peak\n")
		table(&b, "kind\treads/s\twrites/s\tvalue\tbytes/s", len(t.Store), func(i int) string {
			s := t.Store[i]
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s", s.Kind, short(s.Reads), short(s.Writes), size(s.Value), size(s.Value*(s.Reads+s.Writes)))
		})
		fmt.Fprintf(&b, "\nclaims; the records of a period are full at %.0f non-idempotent requests/s\n", MostOnce())
		rates := []float64{10, 25, 50, 100, 300, 1000}
		table(&b, "requests/s\treads/s\twrites/s\tvalue\tbytes/s", len(rates), func(i int) string {
			at := t.Target
			at.Once = rates[i]
			written, conflicts := at.ClaimCalls()
			value := r.Measured.at("claims", Encoded, at.heldClaims())
			return fmt.Sprintf("%.0f\t%s\t%s\t%s\t%s", at.Once, short(conflicts), short(written+conflicts), size(value), size((written+2*conflicts)*value))
		})
		fmt.Fprintf(&b, "\nfailures\n")
		table(&b, "failure\tclaims\treads\twrites\tvalues\tworkers announced to\ttasks again\tslots\tprobes/s", len(t.Failures), func(i int) string {
			f := t.Failures[i]
			return fmt.Sprintf("%s\t%.0f\t%.0f\t%.0f\t%s\t%.0f\t%.0f\t%.0f\t%.0f", f.Name, f.Claims, f.Reads, f.Writes, size(f.Bytes), f.Announced, f.Tasks, f.Slots, f.Probes)
		})
		fmt.Fprintf(&b, "\nbudget\n")
		table(&b, "instance\tquantity\tvalue\tlimit\tof the limit\tholds", len(t.Verdicts), func(i int) string {
			v := t.Verdicts[i]
			holds := "no"
			if v.Holds() {
				holds = "yes"
			}
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", v.Reading, v.What, v.show(v.Value), v.show(v.Limit), percent(v.Value/v.Limit), holds)
		})
	}
	return b.String()
}

func (v Verdict) show(x float64) string {
	switch v.What {
	case "cores":
		return fmt.Sprintf("%.3f%%", 100*x)
	case "memory", "bytes/s":
		return size(x)
	default:
		return short(x)
	}
}

func figures(b *strings.Builder, title string, all []Figure) {
	fmt.Fprintf(b, "\n%s\n", title)
	entry := Sum(all, EntryRoles...)
	rows := append(slices.Clone(all), Figure{"entry: control", "sum without the front end", "", entry})
	table(b, "role\tpart\tmechanism\tmessages/s\tbytes/s\tcore\tmemory\treads/s\twrites/s", len(rows), func(i int) string {
		f := rows[i]
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%.3f%%\t%s\t%s\t%s", f.Role, f.Part, f.Mechanism,
			short(f.Messages), size(f.Bytes), 100*f.Cores, size(f.Memory), short(f.Reads), short(f.Writes))
	})
}

func table(b *strings.Builder, head string, rows int, row func(int) string) {
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, head)
	for i := range rows {
		fmt.Fprintln(w, row(i))
	}
	_ = w.Flush() // a strings.Builder takes every write
}

// short returns a number with about three significant digits.
func short(x float64) string {
	switch {
	case x == 0:
		return "0"
	case x >= 100 || x <= -100:
		return strconv.FormatFloat(x, 'f', 0, 64)
	default:
		return strconv.FormatFloat(x, 'g', 3, 64)
	}
}

func size(bytes float64) string {
	switch {
	case bytes >= 1<<20:
		return short(bytes/(1<<20)) + " MB"
	case bytes >= 1<<10:
		return short(bytes/(1<<10)) + " KB"
	default:
		return short(bytes) + " B"
	}
}

func percent(x float64) string { return short(100*x) + "%" }

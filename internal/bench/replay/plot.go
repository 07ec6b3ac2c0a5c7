package replay

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/monsoonfold/monsoonfold/internal/target/spec"
)

// plotSeries draws the 99th percentile over time of each class of requests, one
// line for each policy, on the first seed.
func plotSeries(o Options, t *Trace, series map[string][][]float64) error {
	if o.Plots == "" {
		return nil
	}
	i := 0
	for _, c := range t.Classes {
		if c.Kind != spec.KindRequest {
			continue
		}
		p := plot.New()
		p.Title.Text = fmt.Sprintf("%s: p99 of %s, seed %d, target %s", t.Header.Firm, c.Name, t.Header.Seed, c.Target.Bound)
		p.X.Label.Text = "seconds"
		p.Y.Label.Text = "milliseconds"
		var lines []any
		for _, name := range o.Policies {
			points := make(plotter.XYs, len(series[name][i]))
			for n, v := range series[name][i] {
				points[n] = plotter.XY{X: float64(n+1) * (10 * time.Second).Seconds(), Y: v * 1000}
			}
			lines = append(lines, name, points)
		}
		if err := plotutil.AddLines(p, lines...); err != nil {
			return errors.Errorf("plot %s: %w", c.Name, err)
		}
		p.Legend.Top = true
		if err := save(p, o.Plots, fmt.Sprintf("%s-%s.svg", t.Header.Firm, c.Name)); err != nil {
			return err
		}
		i++
	}
	return nil
}

// plotSummary draws batch work against the excess of the worst class, over all
// seeds.
func plotSummary(o Options, all []Summary) error {
	if o.Plots == "" {
		return nil
	}
	for _, firm := range o.Firms {
		p := plot.New()
		p.Title.Text = firm + ": batch work against tail latency, all seeds"
		p.X.Label.Text = "p99 over target, worst class"
		p.Y.Label.Text = "batch work, core hours"
		var points []any
		for _, name := range o.Policies {
			s := find(all, firm, name, 0)
			worst := 0.0
			for _, c := range s.Classes {
				worst = max(worst, float64(c.P99)/float64(c.Bound))
			}
			points = append(points, name, plotter.XYs{{X: worst, Y: s.Work}})
		}
		if err := plotutil.AddScatters(p, points...); err != nil {
			return errors.Errorf("plot %s: %w", firm, err)
		}
		if err := save(p, o.Plots, firm+"-summary.svg"); err != nil {
			return err
		}
	}
	return nil
}

func save(p *plot.Plot, dir, name string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Errorf("save plot: %w", err)
	}
	if err := p.Save(20*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, name)); err != nil {
		return errors.Errorf("save plot: %w", err)
	}
	return nil
}

// saveTrace writes a trace into the directory, if there is one.
func saveTrace(dir string, t *Trace) (err error) {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Errorf("save trace: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, fmt.Sprintf("%s-%d.jsonl", t.Header.Firm, t.Header.Seed)))
	if err != nil {
		return errors.Errorf("save trace: %w", err)
	}
	if err := t.Encode(f); err != nil {
		_ = f.Close() // the first error counts
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Errorf("save trace: %w", err)
	}
	return nil
}

package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CLASS\tGOOD\tBAD\tALLOWED\tBURN 5M\tBURN 1H\tLEFT\tEXHAUSTED\tCAUSES")
	for _, l := range r.Lines {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f%%\t%.2f\t%.2f\t%.0f%%\t%s\t%s\n",
			l.Class, l.Good, l.Bad, 100*l.Allowed, l.Short, l.Long, 100*l.Left, l.Forecast(), l.CauseText())
	}
	for _, id := range r.Missing {
		fmt.Fprintf(t, "%s did not answer; its requests are not counted\n", id)
	}
	if err := t.Flush(); err != nil {
		return errors.Errorf("write burn table: %w", err)
	}
	return nil
}

// WriteHTML writes the report as one page with a plot for each class. The page loads
// no external resources.
func (r Report) WriteHTML(w io.Writer) error {
	if err := page.Execute(w, r); err != nil {
		return errors.Errorf("write burn page: %w", err)
	}
	return nil
}

// Size of a plot, in SVG units.
const (
	plotWidth  = 360
	plotHeight = 60
)

// Plot returns the points of an SVG polyline that shows the burn rate over the long
// window.
func (l Line) Plot() string {
	if len(l.Points) == 0 {
		return ""
	}
	top := 1.0 // always show a burn rate of 1
	for _, p := range l.Points {
		top = max(top, p.Burn)
	}
	end := l.Points[len(l.Points)-1].Time
	var b strings.Builder
	for _, p := range l.Points {
		x := plotWidth * (1 - float64(end.Sub(p.Time))/float64(LongWindow))
		y := plotHeight * (1 - p.Burn/top)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}

// Forecast returns when the budget will be exhausted: a time, "now" or, if this is
// not forecast, a dash.
func (l Line) Forecast() string {
	switch {
	case l.Left <= 0:
		return "now"
	case l.ExhaustedAt == nil:
		return "-"
	}
	return l.ExhaustedAt.UTC().Format(time.RFC3339)
}

// CauseText returns the main causes as text, or a dash.
func (l Line) CauseText() string {
	if len(l.Causes) == 0 {
		return "-"
	}
	var parts []string
	for _, c := range l.Causes {
		parts = append(parts, fmt.Sprintf("%s %s %.0f%%", c.Kind, c.Name, 100*c.Share))
	}
	return strings.Join(parts, ", ")
}

var page = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Error budget burn</title>
<style>
body { font: 14px sans-serif; margin: 2em }
table { border-collapse: collapse }
td, th { border-bottom: 1px solid #ccc; padding: 4px 10px; text-align: left }
svg { background: #f6f6f6 }
polyline { fill: none; stroke: #a33; stroke-width: 1.5 }
</style></head><body>
<h1>Error budget burn</h1>
<p>{{.Time.UTC.Format "2006-01-02 15:04:05"}} UTC. A burn rate of 1 uses up the budget within the hour.
{{range .Missing}}{{.}} did not answer; its requests are not counted. {{end}}</p>
<table>
<tr><th>class</th><th>good</th><th>bad</th><th>burn 5m</th><th>burn 1h</th><th>left</th><th>exhausted</th><th>causes</th><th>last hour</th></tr>
{{range .Lines}}<tr><td>{{.Class}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td>{{printf "%.2f" .Short}}</td><td>{{printf "%.2f" .Long}}</td>
<td>{{printf "%.2f" .Left}}</td><td>{{.Forecast}}</td><td>{{.CauseText}}</td>
<td><svg width="360" height="60" viewBox="0 0 360 60"><polyline points="{{.Plot}}"/></svg></td></tr>
{{end}}</table></body></html>
`))

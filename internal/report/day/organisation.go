package day

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// textOrganisation is the message of the line that an owner logs for each organisation with
// work.
const textOrganisation = "organisation"

// Organisation summarizes the lines of one organisation.
type Organisation struct {
	Lines       int           // of which the owner logs one each 10 s while there is work
	Weight      float64       // in the last line
	CapCores    int64         // millicores, in the last line; 0: no limit
	PeakCores   int64         // millicores
	PeakWaiting int           // tasks
	PeakHeld    int           // of these, tasks that the cap held back
	PeakBeyond  int           // of these, tasks of jobs beyond the rate
	HeldLines   int           // lines with tasks that the cap held back
	LongestHeld time.Duration // for which the cap held a task back
	AboveLines  int           // lines in which it was above its share
	LeastShare  float64       // of the capacity, by weight; 0: it was never limited
}

// addOrganisation adds the line of an organisation.
func (b *builder) addOrganisation(l Line) {
	name := l.stringField("organisation")
	o := b.day.Organisations[name]
	if o == nil {
		o = &Organisation{}
		b.day.Organisations[name] = o
	}
	held := int(l.numberField("held"))
	o.Lines++
	o.Weight, o.CapCores = l.numberField("weight"), int64(l.numberField("capcores"))
	o.PeakCores = max(o.PeakCores, int64(l.numberField("cores")))
	o.PeakWaiting = max(o.PeakWaiting, int(l.numberField("waiting")))
	o.PeakHeld = max(o.PeakHeld, held)
	o.PeakBeyond = max(o.PeakBeyond, int(l.numberField("beyond")))
	o.LongestHeld = max(o.LongestHeld, l.durationField("heldfor"))
	if held > 0 {
		o.HeldLines++
	}
	if above, _ := l.Fields["aboveshare"].(bool); above {
		o.AboveLines++
	}
	if share := l.numberField("share"); share > 0 && (o.LeastShare == 0 || share < o.LeastShare) {
		o.LeastShare = share
	}
}

// writeOrganisations prints a table of the organisations if there are any.
func (d *Day) writeOrganisations(w io.Writer) {
	if len(d.Organisations) == 0 {
		return
	}
	fmt.Fprintln(w, "organisation\tlines\tweight\tleast share\tabove share\tcap cores\tpeak cores\twaiting\theld by quota\tlines held\tlongest\tbeyond rate")
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		o := d.Organisations[name]
		fmt.Fprintf(w, "%s\t%d\t%g\t%s\t%d\t%s\t%.1f\t%d\t%d\t%d\t%s\t%d\n", name, o.Lines, o.Weight, shareText(o.LeastShare), o.AboveLines,
			coresText(o.CapCores), cores(o.PeakCores), o.PeakWaiting, o.PeakHeld, o.HeldLines, o.LongestHeld.Round(time.Millisecond), o.PeakBeyond)
	}
	fmt.Fprintln(w)
}

func cores(millicores int64) float64 { return float64(millicores) / 1000 }

// coresText formats a cap, or a dash for no limit.
func coresText(millicores int64) string {
	if millicores == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", cores(millicores))
}

// shareText formats a share of the capacity in percent, or a dash if there was no limit.
func shareText(share float64) string {
	if share == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*share)
}

package command

import (
	"context"
	"os"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/report/burn"
)

// newBurn builds the command that reports the burn of the error budgets.
func newBurn() action {
	sub := newSubcommand("burn", "report how fast each class burns its error budget", "monsoonfold burn --html burn.html")
	var c connection
	var page string
	c.attach(sub)
	sub.String(&page, "", "html", "also write the report as a page to this file")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		report, err := dialed.Burn(ctx)
		if err != nil {
			return called(err)
		}
		if page != "" {
			if err := writePage(page, report); err != nil {
				return err
			}
		}
		if c.output == "json" {
			return printJSON(s.Out, report)
		}
		return report.WriteText(s.Out)
	}}
}

func writePage(file string, report burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Errorf("write page: %w", err)
	}
	return errors.Join(report.WriteHTML(f), f.Close())
}

package command

import (
	"context"
	"os"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/report/burn"
)

// newBurn builds the command that reports the burn rates of the error budgets.
func newBurn() command {
	sub := newSubcommand("burn", "report how fast each class burns its error budget", "monsoonfold burn --html burn.html")
	var c clientFlags
	var htmlFile string
	c.register(sub)
	sub.String(&htmlFile, "", "html", "also write the report as a page to this file")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		report, err := apiClient.Burn(ctx)
		if err != nil {
			return callError(err)
		}
		if htmlFile != "" {
			if err := writePage(htmlFile, report); err != nil {
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

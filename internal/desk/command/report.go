package command

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/report/day"
)

// newReport builds the command that summarizes the work of a day from the logs of
// the entries.
func newReport() command {
	sub := newSubcommand("report", "print from logs how a day went: jobs by queue, takeovers, orders, waits", "cat *.log | monsoonfold report")
	var file string
	sub.String(&file, "f", "file", "log file; default: standard input")
	return command{sub: sub, run: func(_ context.Context, s Streams) error {
		in, err := openLog(file)
		if err != nil {
			return err
		}
		defer in.Close()
		lines, err := day.Read(in, "")
		if err != nil {
			return err
		}
		if len(lines) == 0 {
			return &exitError{ExitFailed, errors.New("report: no structured line; give the standard output of all entries")}
		}
		return day.Summarize(lines).Write(s.Out)
	}}
}

package command

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/report/day"
)

// newReport builds the command that tells from the logs of entries how a day went.
func newReport() action {
	sub := newSubcommand("report", "print from logs how a day went: jobs by queue, takeovers, orders, waits", "cat *.log | monsoonfold report")
	var file string
	sub.String(&file, "f", "file", "log file; default: standard input")
	return action{sub: sub, run: func(_ context.Context, s Streams) error {
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
			return &failure{ExitFailed, errors.New("report: no structured line; give the standard output of all entries")}
		}
		return day.Summarize(lines).Write(s.Out)
	}}
}

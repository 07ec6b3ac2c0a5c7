package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/report/day"
)

// newTrace builds the command that prints the log lines of all entries about one
// id, such as that of a job or a worker.
func newTrace() command {
	sub := newSubcommand("trace", "print from logs what happened to an id, in order of time", "cat *.log | monsoonfold trace --id 5c0e7a21d94b36f8")
	var id, file string
	sub.String(&id, "i", "id", "id of a job, worker or entry; an empty one selects every line")
	sub.String(&file, "f", "file", "log file; default: standard input")
	return command{sub: sub, run: func(_ context.Context, s Streams) error {
		in, err := openLog(file)
		if err != nil {
			return err
		}
		defer in.Close()
		lines, err := day.Read(in, id)
		if err != nil {
			return err
		}
		for _, l := range lines {
			fmt.Fprintln(s.Out, l)
		}
		if len(lines) == 0 {
			return &exitError{ExitFailed, errors.Errorf("trace: no line names %q; look at the logs of all entries", id)}
		}
		return nil
	}}
}

// openLog opens a log file, or returns standard input if no file is named.
func openLog(file string) (io.ReadCloser, error) {
	if file == "" {
		return io.NopCloser(os.Stdin), nil
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Errorf("open log: %w", err)
	}
	return f, nil
}

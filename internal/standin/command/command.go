// Package command is the command line of the stand-ins, one file for each command.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
)

// command is one subcommand with its flags.
type command struct {
	name    string
	summary string
	flags   func(*flaggy.Subcommand)
	sub     *flaggy.Subcommand // made elsewhere, in place of summary and flags
	run     func(ctx context.Context, stdout io.Writer) error
}

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// stopTimeout bounds a graceful stop; a request may take up to 30 s.
const stopTimeout = 35 * time.Second

// Run runs the subcommand of the arguments and returns the exit code.
func Run(args []string) int {
	commands := []*command{newPlatformCommand(), newWorkerCommand(), newCallerCommand(), newReplayCommand(), newCapacityCommand(), newBacklogCommand()}
	parser := newParser(commands)
	if fault := checkCommand(commands, args); fault != nil {
		return report(fault, exitUsage)
	}
	if err := parser.ParseArgs(args); err != nil {
		return report(errors.Errorf("parse flags: %w", err), exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, c := range commands {
		if c.name != args[0] {
			continue
		}
		if err := c.run(ctx, os.Stdout); err != nil {
			return report(errors.Errorf("%s: %w", c.name, err), exitFailure)
		}
	}
	return 0
}

func newParser(commands []*command) *flaggy.Parser {
	parser := flaggy.NewParser("standin")
	parser.Description = "Stand-ins for the platform, workers and callers of monsoonfold."
	parser.ShowCompletion = false
	parser.DisableShowVersionWithVersion()
	// A fault is one line; only a call for help prints the help.
	template := "{{if .Message}}standin: {{.Message}}\n{{else}}" + flaggy.DefaultHelpTemplate + "{{end}}"
	if err := parser.SetHelpTemplate(template); err != nil {
		panic(err) // the template is constant
	}
	for _, c := range commands {
		sub := c.sub
		if sub == nil {
			sub = flaggy.NewSubcommand(c.name)
			sub.Description = c.summary
			c.flags(sub)
		}
		parser.AttachSubcommand(sub, 1)
	}
	return parser
}

// checkCommand reports a missing or unknown subcommand, which the parser would
// report in several lines.
func checkCommand(commands []*command, args []string) error {
	var names []string
	for _, c := range commands {
		names = append(names, c.name)
	}
	want := strings.Join(names, ", ")
	switch {
	case len(args) == 0:
		return errors.Errorf("no command; want one of %s", want)
	case slices.Contains([]string{"-h", "--help", "-help"}, args[0]), slices.Contains(names, args[0]):
		return nil
	}
	return errors.Errorf("unknown command %q; want one of %s", args[0], want)
}

// report prints the error on one line and returns the code.
func report(err error, code int) int {
	fmt.Fprintln(os.Stderr, "standin:", strings.ReplaceAll(err.Error(), "\n", "; "))
	return code
}

// serve runs services until the context ends, then stops them gracefully. Once
// they can be called, it prints the line that ready returns.
func serve(ctx context.Context, stdout io.Writer, services []registry.Service, ready func() any) error {
	k := registry.New()
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return errors.Errorf("register: %w", err)
		}
	}
	if err := k.Start(ctx); err != nil {
		return errors.Errorf("start: %w", err)
	}
	failed := json.NewEncoder(stdout).Encode(ready())
	if failed == nil {
		failed = k.Wait(ctx)
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := errors.Join(failed, k.Stop(end)); err != nil {
		return errors.Errorf("serve: %w", err)
	}
	return nil
}

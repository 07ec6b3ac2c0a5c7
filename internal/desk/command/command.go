// Package command is the command line of monsoonfold, one file for each command.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
)

// ExitCode is the exit code of a command.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1 // the command failed; the message says what to do next
	ExitUsage       ExitCode = 2 // wrong arguments
	ExitInvalid     ExitCode = 3 // a file is at fault; every fault is printed
	ExitConflict    ExitCode = 4 // somebody else changed the configuration first
	ExitPending     ExitCode = 5 // not known yet or not yet in force everywhere; ask again
	ExitUnreachable ExitCode = 6 // no entry could be reached
)

// failure is an error with the exit code that it leads to.
type failure struct {
	code ExitCode
	err  error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

// Streams are where a command writes to.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // errors and logs
}

// action is one command.
type action struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, s Streams) error
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) ExitCode {
	p := flaggy.NewParser("monsoonfold")
	p.Description = "scheduler for latency-critical and batch work on the same workers"
	p.Version = Version()
	p.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 wrong arguments, 3 file at fault, 4 conflict, 5 pending, 6 no entry reached."
	actions := attachAll(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintf(s.Err, "monsoonfold: %v\n", err)
		return ExitUsage
	}
	for _, a := range actions {
		if a.sub.Used {
			return finish(a.run(ctx, s), s)
		}
	}
	p.ShowHelp()
	return ExitUsage
}

// group is a set of commands behind one word, such as target show.
type group struct {
	name        string
	description string
	commands    []func() action
}

// attachAll adds every command to the parser and returns those that run.
func attachAll(p *flaggy.Parser) []action {
	single := []func() action{
		newEntry, newServe, newDemo, newCheck, newKeys, newStatus, newForget, newBurn, newExplain, newTrace, newReport,
	}
	groups := []group{
		{"target", "the target document", []func() action{
			newTargetShow, newTargetDiff, newTargetApply, newTargetHistory, newTargetStatus,
		}},
		{"zone", "availability zones", []func() action{newZoneList, newZoneOut, newZoneIn}},
		{"job", "jobs", []func() action{newJobSubmit, newJobList, newJobShow, newJobCancel}},
	}
	var actions []action
	for _, build := range single {
		a := build()
		p.AttachSubcommand(a.sub, 1)
		actions = append(actions, a)
	}
	for _, g := range groups {
		parent := flaggy.NewSubcommand(g.name)
		parent.Description = g.description
		for _, build := range g.commands {
			a := build()
			parent.AttachSubcommand(a.sub, 1)
			actions = append(actions, a)
		}
		p.AttachSubcommand(parent, 1)
	}
	return actions
}

func newSubcommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\nExample: " + example
	return sub
}

func finish(err error, s Streams) ExitCode {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(s.Err, "monsoonfold: %v\n", err)
	if f, ok := errors.Into[*failure](err); ok {
		return f.code
	}
	if f, ok := errors.Into[*answer.Fault](err); ok {
		fmt.Fprintf(s.Err, "next: %s\n", f.NextStep)
	}
	return ExitFailed
}

// Package command implements the command line of monsoonfold, with one file for
// each command.
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
	ExitFailed      ExitCode = 1 // the command failed; the message says how to proceed
	ExitUsage       ExitCode = 2 // wrong arguments
	ExitInvalid     ExitCode = 3 // a file is invalid; all its faults are printed
	ExitConflict    ExitCode = 4 // another change to the configuration came first
	ExitPending     ExitCode = 5 // the outcome is unknown or the change isn't in force everywhere; ask again
	ExitUnreachable ExitCode = 6 // no entry could be reached
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code ExitCode
	err  error
}

func (f *exitError) Error() string { return f.err.Error() }
func (f *exitError) Unwrap() error { return f.err }

// Streams are the outputs of a command.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // errors and logs
}

// command is a subcommand of the parser with the function that runs it.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, s Streams) error
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) ExitCode {
	p := flaggy.NewParser("monsoonfold")
	p.Description = "scheduler for latency-critical and batch work on the same workers"
	p.Version = Version()
	p.AdditionalHelpAppend = "\nExit codes: 0 done, 1 failed, 2 wrong arguments, 3 file at fault, 4 conflict, 5 pending, 6 no entry reached."
	commands := attachCommands(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintf(s.Err, "monsoonfold: %v\n", err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return reportError(c.run(ctx, s), s)
		}
	}
	p.ShowHelp()
	return ExitUsage
}

// commandGroup is a set of commands with a common first word, such as target show.
type commandGroup struct {
	name        string
	description string
	commands    []func() command
}

// attachCommands adds every command to the parser and returns them all.
func attachCommands(p *flaggy.Parser) []command {
	topLevel := []func() command{
		newEntry, newServe, newDemo, newCheck, newKeys, newStatus, newForget, newBurn, newExplain, newTrace, newReport,
	}
	groups := []commandGroup{
		{"target", "the target document", []func() command{
			newTargetShow, newTargetDiff, newTargetApply, newTargetHistory, newTargetStatus,
		}},
		{"zone", "availability zones", []func() command{newZoneList, newZoneOut, newZoneIn}},
		{"job", "jobs", []func() command{newJobSubmit, newJobList, newJobShow, newJobCancel}},
	}
	var commands []command
	for _, newCommand := range topLevel {
		c := newCommand()
		p.AttachSubcommand(c.sub, 1)
		commands = append(commands, c)
	}
	for _, g := range groups {
		parent := flaggy.NewSubcommand(g.name)
		parent.Description = g.description
		for _, newCommand := range g.commands {
			c := newCommand()
			parent.AttachSubcommand(c.sub, 1)
			commands = append(commands, c)
		}
		p.AttachSubcommand(parent, 1)
	}
	return commands
}

func newSubcommand(name, description, example string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\nExample: " + example
	return sub
}

// reportError prints an error and returns the exit code of the command.
func reportError(err error, s Streams) ExitCode {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(s.Err, "monsoonfold: %v\n", err)
	if f, ok := errors.Into[*exitError](err); ok {
		return f.code
	}
	if f, ok := errors.Into[*answer.Fault](err); ok {
		fmt.Fprintf(s.Err, "next: %s\n", f.NextStep)
	}
	return ExitFailed
}

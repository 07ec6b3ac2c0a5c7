package backlog

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/job/overload"
)

// Options selects what is played.
type Options struct {
	Loads    []string // empty: all
	Policies []string // empty: all
	Seeds    []uint64
	Span     time.Duration // of the arrivals
	recorded *arrivals     // nil: generated ones
}

// Best is the policy that the scheduler follows.
const Best = base + "+half"

// base is the policy to which further changes are tried.
const base = "expected+moves"

// Policies returns the policies to compare: the orders, and further changes to base.
func Policies() []Policy {
	changed := func(name string, change func(*Policy)) Policy {
		p := Policy{Name: base + "+" + name, order: overload.ExpectedValue, moveByPlace: true, moveMore: true}
		change(&p)
		return p
	}
	return []Policy{
		{Name: "deadline", order: overload.EarliestDeadline},
		{Name: "late-behind", order: overload.LateBehind},
		{Name: "least-work", order: overload.LeastWork},
		{Name: "value", order: overload.ValueByWork},
		{Name: "least-slack", order: overload.LeastSlack},
		{Name: "admission", order: overload.AdmitBySlack},
		{Name: "expected", order: overload.ExpectedValue},
		{Name: "expected+move", order: overload.ExpectedValue, moveByPlace: true},
		{Name: base, order: overload.ExpectedValue, moveByPlace: true, moveMore: true},
		changed("pace", func(p *Policy) { p.paceByPlace = true }),
		changed("half", func(p *Policy) { p.uncounted = 0.5 }),
		changed("begun", func(p *Policy) { p.uncounted = 1 }),
		changed("release", func(p *Policy) { p.releaseAfter = pausedTooLong }),
		changed("stop", func(p *Policy) { p.stopUseless = true }),
		changed("oldest", func(p *Policy) { p.serveOldest = true }),
		changed("hold", func(p *Policy) { p.holdServing = true }),
	}
}

// pausedTooLong is after which time without progress runs are released.
const pausedTooLong = 2 * time.Second

// Command is the subcommand that runs the replay. Attach it to a parser, and
// call Run if Subcommand.Used is set.
type Command struct {
	Subcommand             *flaggy.Subcommand
	options                Options
	seeds, loads, policies string
	log, queues            string
}

// NewCommand returns the subcommand backlog.
func NewCommand() *Command {
	c := &Command{Subcommand: flaggy.NewSubcommand("backlog"), seeds: "1,2,3", options: Options{Span: 50 * time.Second}}
	s := c.Subcommand
	s.Description = "replay overloaded days under each order of waiting work and print one table"
	s.String(&c.seeds, "", "seeds", "seeds, separated by commas")
	s.String(&c.loads, "", "loads", "loads, separated by commas; all if empty")
	s.String(&c.policies, "", "policies", "policies, separated by commas; all if empty")
	s.String(&c.log, "", "log", "file with the logs of entries, whose submissions are replayed; generated ones if empty")
	s.String(&c.queues, "", "queues", "kinds of the recorded queues, such as quotes=urgent,reports=batch")
	s.Duration(&c.options.Span, "", "span", "time in which jobs arrive")
	return c
}

// Run runs the replay with the parsed flags.
func (c *Command) Run(ctx context.Context, out io.Writer) error {
	c.options.Loads, c.options.Policies = list(c.loads), list(c.policies)
	for _, text := range list(c.seeds) {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return errors.Errorf("seed %q: %w", text, err)
		}
		c.options.Seeds = append(c.options.Seeds, seed)
	}
	if c.log != "" {
		queues, err := parseQueues(c.queues)
		if err != nil {
			return err
		}
		if c.options.recorded, err = readFile(c.log, queues); err != nil {
			return errors.Errorf("log %s: %w", c.log, err)
		}
	}
	return Run(ctx, out, c.options)
}

// list splits a list that is separated by commas.
func list(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

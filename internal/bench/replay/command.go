package replay

import (
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// Command is the subcommand that runs the replay. Attach it to a parser, and
// call Run if Subcommand.Used is set.
type Command struct {
	Subcommand *flaggy.Subcommand
	options    Options
	seeds      string
	firms      string
	policies   string
}

// NewCommand returns the subcommand replay.
func NewCommand() *Command {
	c := &Command{Subcommand: flaggy.NewSubcommand("replay"), seeds: "1,2,3,4,5"}
	c.options.setDefaults()
	c.firms, c.policies = strings.Join(c.options.Firms, ","), strings.Join(c.options.Policies, ",")
	s := c.Subcommand
	s.Description = "replay seeded traces of both firms under each policy and print one table"
	s.String(&c.seeds, "", "seeds", "seeds, separated by commas")
	s.String(&c.firms, "", "firms", "firms, separated by commas")
	s.String(&c.policies, "", "policies", "policies, separated by commas")
	s.Duration(&c.options.Span, "", "span", "length of each trace")
	s.Float64(&c.options.Scale, "", "scale", "part of the firm's workers and rates")
	s.String(&c.options.Plots, "", "plots", "directory for SVG plots")
	s.String(&c.options.Traces, "", "traces", "directory for the traces as JSON lines")
	return c
}

// Run runs the replay with the parsed flags.
func (c *Command) Run(out io.Writer) error {
	c.options.Firms = strings.Split(c.firms, ",")
	c.options.Policies = strings.Split(c.policies, ",")
	c.options.Seeds = nil
	for _, text := range strings.Split(c.seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return errors.Errorf("seed %q: %w", text, err)
		}
		c.options.Seeds = append(c.options.Seeds, seed)
	}
	return Run(out, c.options)
}

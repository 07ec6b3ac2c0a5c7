package capacity

import (
	"io"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// Command is the subcommand that measures and prints the tables. Attach it to a
// parser, and call Run if Subcommand.Used is set.
type Command struct {
	Subcommand *flaggy.Subcommand
	options    Options
	entries    string
}

// NewCommand returns the subcommand capacity.
func NewCommand() *Command {
	c := &Command{Subcommand: flaggy.NewSubcommand("capacity"), options: DefaultOptions()}
	var sizes []string
	for _, n := range c.options.Entries {
		sizes = append(sizes, strconv.Itoa(n))
	}
	c.entries = strings.Join(sizes, ",")
	s := c.Subcommand
	s.Description = "measure slopes and print the costs of each role at the scale target"
	s.String(&c.entries, "", "entries", "numbers of entries, separated by commas")
	s.Duration(&c.options.Span, "", "span", "virtual time of each simulated shard")
	s.Int(&c.options.Effort.Runs, "", "runs", "repeated runs of each processor time; 0 leaves them out")
	s.String(&c.options.JSON, "", "json", "file for the whole result as JSON")
	return c
}

// Run runs the measurements with the parsed flags.
func (c *Command) Run(out io.Writer) error {
	c.options.Entries = nil
	for _, text := range strings.Split(c.entries, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return errors.Errorf("number of entries %q: want a positive integer", text)
		}
		c.options.Entries = append(c.options.Entries, n)
	}
	return Run(out, c.options)
}

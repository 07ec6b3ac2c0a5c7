package command

import (
	"cmp"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/desk/client"
)

// Environment variables that stand in for the flags of a connection.
const (
	addressVariable   = "MONSOONFOLD_ADDRESS"
	authorityVariable = "MONSOONFOLD_AUTHORITY"
	tokenVariable     = "MONSOONFOLD_TOKEN"
)

// connection has the flags of the commands that call an entry.
type connection struct {
	addresses []string // IP and port of entries, tried in order
	authority string   // PEM file
	token     string   // file
	output    string   // table or json
}

func (c *connection) attach(sub *flaggy.Subcommand) {
	c.output = "table"
	sub.StringSlice(&c.addresses, "a", "address", "operator address of an entry; may be repeated; or "+addressVariable)
	sub.String(&c.authority, "", "authority", "PEM file of the certificate authority; or "+authorityVariable)
	sub.String(&c.token, "", "token", "file with the bearer token; or "+tokenVariable)
	sub.String(&c.output, "o", "output", "table or json")
}

// dial returns a client of the entries.
func (c *connection) dial() (*client.Client, error) {
	if c.output != "table" && c.output != "json" {
		return nil, usage("output %q: want table or json", c.output)
	}
	addresses := c.addresses
	if text := os.Getenv(addressVariable); len(addresses) == 0 && text != "" {
		addresses = strings.Split(text, ",")
	}
	authorityFile := cmp.Or(c.authority, os.Getenv(authorityVariable))
	tokenFile := cmp.Or(c.token, os.Getenv(tokenVariable))
	if len(addresses) == 0 || authorityFile == "" || tokenFile == "" {
		return nil, usage("name an entry with --address, its --authority and your --token")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Errorf("read authority: %w", err)
	}
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, errors.Errorf("read token: %w", err)
	}
	dialed, err := client.New(client.Options{
		Addresses: addresses, Authority: authority, Token: strings.TrimSpace(string(token)),
	})
	if err != nil {
		return nil, errors.Errorf("prepare connection: %w", err)
	}
	return dialed, nil
}

// called gives the error of a call its exit code.
func called(err error) error {
	if err == nil {
		return nil
	}
	if fault, answered := errors.Into[*answer.Fault](err); answered {
		if len(fault.Faults) > 0 {
			return &failure{ExitInvalid, err}
		}
		return err
	}
	return &failure{ExitUnreachable, errors.Errorf("no entry answered: %w", err)}
}

func usage(format string, args ...any) error {
	return &failure{ExitUsage, errors.Errorf(format, args...)}
}

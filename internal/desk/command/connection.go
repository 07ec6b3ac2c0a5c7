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

// Environment variables that are read if the corresponding flag is missing.
const (
	addressEnv   = "MONSOONFOLD_ADDRESS"
	authorityEnv = "MONSOONFOLD_AUTHORITY"
	tokenEnv     = "MONSOONFOLD_TOKEN"
)

// clientFlags are the flags of all commands that call an entry.
type clientFlags struct {
	addresses []string // IP and port of each entry, tried in order
	authority string   // PEM file of the certificate authority
	token     string   // file with the bearer token
	output    string   // table or json
}

func (c *clientFlags) register(sub *flaggy.Subcommand) {
	c.output = "table"
	sub.StringSlice(&c.addresses, "a", "address", "operator address of an entry; may be repeated; or "+addressEnv)
	sub.String(&c.authority, "", "authority", "PEM file of the certificate authority; or "+authorityEnv)
	sub.String(&c.token, "", "token", "file with the bearer token; or "+tokenEnv)
	sub.String(&c.output, "o", "output", "table or json")
}

// newClient returns a client of the operator API, as the flags and the environment
// configure it.
func (c *clientFlags) newClient() (*client.Client, error) {
	if c.output != "table" && c.output != "json" {
		return nil, usageError("output %q: want table or json", c.output)
	}
	addresses := c.addresses
	if text := os.Getenv(addressEnv); len(addresses) == 0 && text != "" {
		addresses = strings.Split(text, ",")
	}
	authorityFile := cmp.Or(c.authority, os.Getenv(authorityEnv))
	tokenFile := cmp.Or(c.token, os.Getenv(tokenEnv))
	if len(addresses) == 0 || authorityFile == "" || tokenFile == "" {
		return nil, usageError("name an entry with --address, its --authority and your --token")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Errorf("read authority: %w", err)
	}
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, errors.Errorf("read token: %w", err)
	}
	apiClient, err := client.New(client.Options{
		Addresses: addresses, Authority: authority, Token: strings.TrimSpace(string(token)),
	})
	if err != nil {
		return nil, errors.Errorf("prepare connection: %w", err)
	}
	return apiClient, nil
}

// callError adds the exit code to the error of a call.
func callError(err error) error {
	if err == nil {
		return nil
	}
	if fault, answered := errors.Into[*answer.Fault](err); answered {
		if len(fault.Faults) > 0 {
			return &exitError{ExitInvalid, err}
		}
		return err
	}
	return &exitError{ExitUnreachable, errors.Errorf("no entry answered: %w", err)}
}

func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, errors.Errorf(format, args...)}
}

package command

import (
	"context"
	"fmt"
	"net"

	"github.com/monsoonfold/monsoonfold/internal/desk/keys"
	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// newKeys builds the command that generates keys for a trial. A deployment uses
// keys of its own authority.
func newKeys() command {
	sub := newSubcommand("keys", "make an authority, a certificate for entries and an operator token for a trial", "monsoonfold keys --folder keys --address 10.0.0.1 --operator asha")
	folder, operator := "keys", "operator"
	addresses := []string{}
	sub.String(&folder, "", "folder", "where to write the files")
	sub.StringSlice(&addresses, "", "address", "IP of an entry; may be repeated; default 127.0.0.1")
	sub.String(&operator, "", "operator", "name of the operator")
	return command{sub: sub, run: func(_ context.Context, s Streams) error {
		if len(addresses) == 0 {
			addresses = []string{"127.0.0.1"}
		}
		var ips []net.IP
		for _, text := range addresses {
			ip := net.ParseIP(text)
			if ip == nil {
				return usageError("keys: address %q: want an IP", text)
			}
			ips = append(ips, ip)
		}
		if err := keys.WriteFiles(folder, unit.Operator(operator), ips); err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "%s: ca.pem, entry.pem, entry.key, tokens.json and token\n", folder)
		return nil
	}}
}

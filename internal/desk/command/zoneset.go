package command

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// newSetZone builds a command that takes a zone out of service or returns it to
// service.
func newSetZone(name, description string, out bool) command {
	sub := newSubcommand(name, description, "monsoonfold zone "+name+" guj-hazira")
	var c clientFlags
	var zone, operation string
	c.register(sub)
	sub.AddPositionalValue(&zone, "zone", 1, true, "availability zone")
	sub.String(&operation, "", "operation", "operation id of an earlier try whose outcome is unknown")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		apiClient, err := c.newClient()
		if err != nil {
			return err
		}
		defer apiClient.Close()
		result, err := apiClient.SetZone(ctx, unit.ZoneID(zone), out, unit.OperationID(operation))
		if err != nil {
			return callError(err)
		}
		return printChange(s, c.output, result)
	}}
}

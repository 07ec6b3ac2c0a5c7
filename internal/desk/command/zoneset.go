package command

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// setZone is the shared part of the commands that change the state of a zone.
func setZone(name, description string, out bool) action {
	sub := newSubcommand(name, description, "monsoonfold zone "+name+" guj-hazira")
	var c connection
	var zone, operation string
	c.attach(sub)
	sub.AddPositionalValue(&zone, "zone", 1, true, "availability zone")
	sub.String(&operation, "", "operation", "operation id of an earlier try whose outcome is unknown")
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		result, err := dialed.SetZone(ctx, unit.ZoneID(zone), out, unit.OperationID(operation))
		if err != nil {
			return called(err)
		}
		return printChange(s, c.output, result)
	}}
}

package command

import (
	"context"
)

// newZoneList builds the command that lists the availability zones.
func newZoneList() action {
	sub := newSubcommand("list", "list availability zones", "monsoonfold zone list")
	var c connection
	c.attach(sub)
	return action{sub: sub, run: func(ctx context.Context, s Streams) error {
		dialed, err := c.dial()
		if err != nil {
			return err
		}
		defer dialed.Close()
		zones, err := dialed.Zones(ctx)
		if err != nil {
			return called(err)
		}
		if c.output == "json" {
			return printJSON(s.Out, zones)
		}
		var rows []string
		for _, z := range zones.Zones {
			state := "in service"
			if z.Out {
				state = "out of service"
			}
			rows = append(rows, string(z.Name)+"\t"+state)
		}
		return printTable(s.Out, "ZONE\tSTATE", rows)
	}}
}

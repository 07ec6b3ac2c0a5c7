package command

import (
	"context"

	"github.com/monsoonfold/monsoonfold/internal/desk/answer"
	"github.com/monsoonfold/monsoonfold/internal/desk/client"
)

// newZoneList builds the command that lists the availability zones.
func newZoneList() command {
	sub := newSubcommand("list", "list availability zones", "monsoonfold zone list")
	return newQuery(sub, func(ctx context.Context, c *client.Client) (answer.Zones, error) {
		return c.Zones(ctx)
	}, func(s Streams, zones answer.Zones) error {
		var rows []string
		for _, z := range zones.Zones {
			state := "in service"
			if z.Out {
				state = "out of service"
			}
			rows = append(rows, string(z.Name)+"\t"+state)
		}
		return printTable(s.Out, "ZONE\tSTATE", rows)
	})
}

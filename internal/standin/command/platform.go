package command

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/kernel/registry"
	"github.com/monsoonfold/monsoonfold/internal/standin/platform"
	"github.com/monsoonfold/monsoonfold/internal/storage/store"
)

func newPlatformCommand() *command {
	settings := platform.Settings{Address: "127.0.0.1:0"}
	var list string
	return &command{
		name:    "platform",
		summary: "Serve the key-value service and the instance list.",
		flags: func(sub *flaggy.Subcommand) {
			sub.String(&settings.Address, "", "address", "IP and port to listen at")
			sub.String(&list, "", "instances", "file with the instance list, as the body of POST /instances")
			sub.Duration(&settings.Lag, "", "lag", "after which a change of the instance list shows")
			sub.Float64(&settings.Reads, "", "reads", "limit of reads per second; 0 is none")
			sub.Float64(&settings.Writes, "", "writes", "limit of writes per second; 0 is none")
			sub.UInt64(&settings.Seed, "", "seed", "of the randomly lost answers")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			var err error
			if settings.Instances, err = readInstances(list); err != nil {
				return errors.Errorf("read instance list: %w", err)
			}
			server := platform.New(settings)
			return serve(ctx, stdout, []registry.Service{server}, func() any {
				return struct {
					Address string `json:"address"`
				}{server.Address()}
			})
		},
	}
}

func readInstances(file string) ([]store.Instance, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var listing store.Listing
	if err := json.Unmarshal(data, &listing); err != nil {
		return nil, errors.Errorf("decode %s: %w", file, err)
	}
	return listing.Instances, nil
}

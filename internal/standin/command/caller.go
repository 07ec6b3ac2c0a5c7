package command

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/monsoonfold/monsoonfold/internal/standin/caller"
)

func newCallerCommand() *command {
	settings := caller.Settings{Rate: 100, Count: 1000, Length: 10 * time.Second, Timeout: 5 * time.Second, Seed: 1}
	var kinds []string
	return &command{
		name:    "caller",
		summary: "Send an open-loop load to entries on loopback and print the result.",
		flags: func(sub *flaggy.Subcommand) {
			sub.StringSlice(&settings.Entries, "", "entry", "IP and port of an entry; may be repeated")
			sub.StringSlice(&kinds, "", "kind", "METHOD:path:weight or METHOD:path:weight:once; may be repeated")
			sub.Float64(&settings.Rate, "", "rate", "requests per second over all kinds")
			sub.Int(&settings.Count, "", "count", "largest number of requests")
			sub.Duration(&settings.Length, "", "length", "span within which requests are due")
			sub.Duration(&settings.Timeout, "", "timeout", "of each request")
			sub.Float64(&settings.Repeat, "", "repeat", "part of the once requests sent again through the next entry")
			sub.Bool(&settings.Direct, "", "direct", "the entries are workers, whose responses have no outcome")
			sub.UInt64(&settings.Seed, "", "seed", "of the arrivals")
		},
		run: func(ctx context.Context, stdout io.Writer) error {
			if len(kinds) == 0 {
				kinds = []string{"GET:/:1"}
			}
			for _, text := range kinds {
				kind, err := parseKind(text)
				if err != nil {
					return err
				}
				settings.Kinds = append(settings.Kinds, kind)
			}
			result, err := caller.Run(ctx, settings)
			if err != nil {
				return err
			}
			if err := json.NewEncoder(stdout).Encode(result); err != nil {
				return errors.Errorf("write result: %w", err)
			}
			return nil
		},
	}
}

// parseKind parses the form METHOD:path:weight, with an optional :once.
func parseKind(text string) (caller.Kind, error) {
	parts := strings.Split(text, ":")
	once := len(parts) == 4 && parts[3] == "once"
	if len(parts) != 3 && !once {
		return caller.Kind{}, errors.Errorf("kind %q: want METHOD:path:weight or METHOD:path:weight:once", text)
	}
	weight, err := strconv.ParseFloat(parts[2], 64)
	if err != nil {
		return caller.Kind{}, errors.Errorf("kind %q: weight: %w", text, err)
	}
	return caller.Kind{Method: parts[0], Path: parts[1], Weight: weight, Once: once}, nil
}

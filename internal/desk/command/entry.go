package command

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/entry/assembly"
	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
)

// newEntry builds the command that runs an entry until its context ends.
func newEntry() command {
	sub := newSubcommand("entry", "run an entry until SIGTERM", "monsoonfold entry --settings entry.json")
	var file string
	sub.String(&file, "s", "settings", "settings file; see check --schema settings")
	return command{sub: sub, run: func(ctx context.Context, s Streams) error {
		if file == "" {
			return &exitError{ExitUsage, errors.New("entry: name the settings file with --settings")}
		}
		loaded, err := settings.Load(file)
		if err != nil {
			return documentError(err)
		}
		return assembly.Run(ctx, loaded, newLogger(s.Err, loaded.LogLevel), func(*assembly.Entry) {
			printReady(s, loaded)
		})
	}}
}

// printReady prints the addresses of a running entry as one line of JSON. Scripts
// wait for that line.
func printReady(s Streams, loaded settings.Settings) {
	_ = json.NewEncoder(s.Out).Encode(struct {
		Address string          `json:"address"` // address for callers
		Listen  settings.Listen `json:"listen"`
	}{loaded.Listen.Callers, loaded.Listen}) // ignored: an entry runs on if stdout is closed
}

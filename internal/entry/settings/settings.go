// Package settings reads the settings file of an entry.
package settings

import (
	_ "embed"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
)

// Defaults of optional fields.
const (
	defaultBuckets = 2
	defaultDrain   = unit.Duration(5 * time.Second)
	defaultLevel   = LevelInfo
)

// Level is a log level.
type Level string

// Log levels.
const (
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Settings are the settings of one entry. All other configuration is in the target
// document, which operators change.
type Settings struct {
	Name string      `json:"name"`
	Zone unit.ZoneID `json:"zone"`
	// Regions maps zones to regions. Zones that are not listed share one region.
	Regions   map[unit.ZoneID]string `json:"regions"`
	Listen    Listen                 `json:"listen"`
	Store     string                 `json:"store"` // IP and TCP port of the store
	Keys      Keys                   `json:"keys"`
	TokenFile string                 `json:"tokens"`  // file with the tokens of operators
	Buckets   int                    `json:"buckets"` // number of shards of each zone
	// Drain is how long a stopping entry waits for the load balancer to see that it
	// is not ready.
	Drain    unit.Duration `json:"drain"`
	LogLevel Level         `json:"level"`
}

// Listen holds the IP and port of each listener.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	Metrics   string `json:"metrics"`
}

// Keys holds the paths of the PEM files of the entry.
type Keys struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

//go:embed schema.json
var schemaSource []byte

var schema = document.MustCompile("settings.json", schemaSource)

// Schema returns the JSON schema of the settings file.
func Schema() []byte { return schemaSource }

// Load reads and validates a settings file. Relative paths in it are resolved against
// its folder. The error is a *document.Faults if the content is invalid.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Errorf("read settings: %w", err)
	}
	s, err := parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	folder := filepath.Dir(file)
	for _, path := range []*string{&s.Keys.Certificate, &s.Keys.Key, &s.Keys.Authority, &s.TokenFile} {
		if !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
	return s, nil
}

func parse(file string, data []byte) (Settings, error) {
	s := Settings{Buckets: defaultBuckets, Drain: defaultDrain, LogLevel: defaultLevel}
	d, err := document.Decode(file, data, schema, &s)
	if err != nil {
		return Settings{}, err // the error names the file
	}
	return s, d.LocateFaults(s.checkListeners())
}

// checkListeners reports addresses that are used twice, which the schema cannot express. The
// peers' address is left out, as its UDP port does not conflict with TCP ports.
func (s Settings) checkListeners() []document.Fault {
	listeners := []struct {
		name    string
		address string
	}{
		{"callers", s.Listen.Callers},
		{"operators", s.Listen.Operators},
		{"metrics", s.Listen.Metrics},
	}
	var faults []document.Fault
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if l.address == earlier.address {
				faults = append(faults, document.Fault{
					Path:    document.Pointer("listen", l.name),
					Message: "same address as " + document.Pointer("listen", earlier.name),
				})
			}
		}
	}
	return faults
}

package command

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/entry/settings"
	"github.com/monsoonfold/monsoonfold/internal/target/document"
	"github.com/monsoonfold/monsoonfold/internal/target/spec"
	"github.com/monsoonfold/monsoonfold/platform"
)

// newCheck builds the command that validates files without contact to an entry.
func newCheck() command {
	sub := newSubcommand("check", "validate settings and target files; prints every fault", "monsoonfold check --settings entry.json --target targets.json")
	var settingsFile, targetFile, platformFile, schema string
	sub.String(&settingsFile, "s", "settings", "settings file of an entry")
	sub.String(&targetFile, "t", "target", "target file")
	sub.String(&platformFile, "p", "platform", "settings file of the users' platform")
	sub.String(&schema, "", "schema", "print the JSON schema of: settings, target")
	return command{sub: sub, run: func(_ context.Context, s Streams) error {
		if schema != "" {
			return printSchema(s, schema)
		}
		if settingsFile == "" && targetFile == "" && platformFile == "" {
			return &exitError{ExitUsage, errors.New("check: name a file with --settings or --target, or --platform")}
		}
		return checkFiles(s, settingsFile, targetFile, platformFile)
	}}
}

func printSchema(s Streams, name string) error {
	var text []byte
	switch name {
	case "settings":
		text = settings.Schema()
	case "target":
		text = spec.Schema()
	default:
		return &exitError{ExitUsage, errors.Errorf("check: no schema %q; want settings or target", name)}
	}
	if _, err := s.Out.Write(text); err != nil {
		return errors.Errorf("write schema: %w", err)
	}
	return nil
}

// checkFiles validates all files before it returns, so that the faults of all are
// reported together.
func checkFiles(s Streams, settingsFile, targetFile, platformFile string) error {
	var errs []error
	if settingsFile != "" {
		_, err := settings.Load(settingsFile)
		errs = append(errs, reportFile(s, settingsFile, err))
	}
	if targetFile != "" {
		_, err := loadTarget(targetFile)
		errs = append(errs, reportFile(s, targetFile, err))
	}
	if platformFile != "" {
		_, err := platform.LoadSettings(platformFile)
		if err != nil {
			err = &exitError{ExitInvalid, err}
		}
		errs = append(errs, reportFile(s, platformFile, err))
	}
	return errors.Join(errs...)
}

func reportFile(s Streams, file string, err error) error {
	if err == nil {
		fmt.Fprintf(s.Out, "%s: ok\n", file)
		return nil
	}
	return documentError(err)
}

// documentError adds the exit code to an error that lists faults of a document.
func documentError(err error) error {
	if _, ok := errors.Into[*document.Faults](err); ok {
		return &exitError{ExitInvalid, err}
	}
	return err
}

func loadTarget(file string) (spec.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return spec.Document{}, errors.Errorf("read target file: %w", err)
	}
	return spec.Parse(file, data)
}

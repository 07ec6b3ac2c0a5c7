package command

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return errors.Errorf("write JSON: %w", err)
	}
	return nil
}

// printTable writes a header and rows in aligned columns. Cells are separated by
// tabs.
func printTable(w io.Writer, header string, rows []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, row := range rows {
		fmt.Fprintln(t, row)
	}
	if err := t.Flush(); err != nil {
		return errors.Errorf("write table: %w", err)
	}
	return nil
}

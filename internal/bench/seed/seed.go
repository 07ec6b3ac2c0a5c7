// Package seed makes the property tests of a package that imports it use one seed,
// so that a failure in CI comes again on the next run. Only tests import it. The
// flag -rapid.seed on the command line names another seed, and 0 a random one.
package seed

import (
	"flag"
	"strconv"

	_ "pgregory.net/rapid" // registers the flag
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// SetDefaults makes the properties of the package run more and longer sequences than
// the library does by default, for faults that only long ones reach. Flags on the
// command line still win.
func SetDefaults(checks, steps int) {
	for _, f := range []struct {
		name  string
		value int
	}{{"rapid.checks", checks}, {"rapid.steps", steps}} {
		if err := flag.Set(f.name, strconv.Itoa(f.value)); err != nil {
			panic(err)
		}
	}
}

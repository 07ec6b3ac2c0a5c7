// Package seed fixes the seed of the property tests of every package that imports
// it, so that a failure in CI is reproduced by the next run. Only tests import it.
// The flag -rapid.seed on the command line selects another seed, and 0 a random one.
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

// SetDefaults replaces the library's default number of checks and steps of the
// property tests, since some faults show only in more and longer sequences. Flags on
// the command line take precedence.
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

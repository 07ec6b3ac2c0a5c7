// Package seed makes the property tests of a package that imports it use one seed,
// so that a failure in CI comes again on the next run. Only tests import it. The
// flag -rapid.seed on the command line names another seed, and 0 a random one.
package seed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

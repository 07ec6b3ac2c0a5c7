package config

import "flag"

// The properties use one seed unless -rapid.seed on the command line names
// another, so that a failure in CI comes again on the next run.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

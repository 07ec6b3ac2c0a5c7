package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/monsoonfold/monsoonfold/internal/bench/scenario"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"standin": main})
}

// TestScripts guards against faults of the commands that only show when they run as
// processes: in the ready line, the protocols, the error output and the exit on
// SIGTERM.
func TestScripts(t *testing.T) { scenario.Run(t) }

package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/monsoonfold/monsoonfold/internal/bench/scenario"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"standin": main})
}

// TestScripts guards against breaks of the commands as processes: their ready
// line, their protocols, their errors and their end on SIGTERM.
func TestScripts(t *testing.T) { scenario.Run(t) }

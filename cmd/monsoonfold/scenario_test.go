package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/monsoonfold/monsoonfold/internal/bench/scenario"
	"github.com/monsoonfold/monsoonfold/internal/standin/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"monsoonfold": main,
		"standin":     func() { os.Exit(command.Run(os.Args[1:])) },
	})
}

// TestScenarios runs the scripts in testdata, which start separate processes. The
// head of each script says which failure it guards against.
func TestScenarios(t *testing.T) { scenario.Run(t) }

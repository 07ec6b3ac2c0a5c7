package main

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScenarios runs the scripts below testdata over separate processes. Each
// script says which failure it guards against.
//
// Besides the commands of testscript there are:
//
//	ports NAME...               sets each variable to a free loopback address
//	expand FILE...              replaces $NAME in the files
//	eventually SPAN CMD ARG...  repeats exec CMD until it succeeds
//	signal SIGNAL WORD          signals the background processes with WORD among their arguments
//	pause SPAN                  waits, for outages that have to last
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports":      allocatePorts,
			"expand":     expandFiles,
			"eventually": retryCommand,
			"signal":     signalProcesses,
			"pause":      pauseScript,
		},
		RequireExplicitExec: true,
	})
}

func allocatePorts(ts *testscript.TestScript, _ bool, names []string) {
	// All listeners stay open until the last one has its port, so that no port is
	// given out twice.
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		defer l.Close()
		ts.Setenv(name, l.Addr().String())
	}
}

func expandFiles(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		data, err := os.ReadFile(ts.MkAbs(file))
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(os.Expand(string(data), ts.Getenv)), 0o600))
	}
}

func retryCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: eventually SPAN CMD ARG...")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	deadline := time.Now().Add(span)
	for {
		err := ts.Exec(args[1], args[2:]...)
		if (err == nil) != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("not within %s: %s: %v", span, strings.Join(args[1:], " "), err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func signalProcesses(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	if len(args) != 2 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal KILL|TERM|STOP|CONT WORD")
	}
	found := false
	for _, cmd := range ts.BackgroundCmds() {
		for _, arg := range cmd.Args[1:] {
			if arg == args[1] {
				found = true
				ts.Check(cmd.Process.Signal(signals[args[0]]))
			}
		}
	}
	if !found {
		ts.Fatalf("no background process with argument %q", args[1])
	}
}

func pauseScript(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: pause SPAN")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(span)
}

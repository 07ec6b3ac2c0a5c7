package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"standin": func() { os.Exit(execute(os.Args[1:])) },
	})
}

// TestScripts guards against breaks of the commands as processes: their ready
// line, their protocols, their errors and their end on SIGTERM.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey{}] = processes{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":     startProcess,
			"terminate": terminateProcess,
			"fetch":     fetch,
		},
	})
}

// patience is how long a process may take to get ready, to answer or to end.
const patience = 20 * time.Second

// processes are the processes that one script started, by name.
type processes map[string]*exec.Cmd

type processesKey struct{}

// startProcess runs "start NAME ARGS...": it starts standin with the arguments,
// writes its ready line to the file NAME and sets the variables NAME_FIELD to
// the addresses in it.
func startProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME ARGS...")
	}
	executable, err := os.Executable()
	ts.Check(err)
	cmd := &exec.Cmd{Path: executable, Args: append([]string{"standin"}, args[1:]...), Stderr: ts.Stderr()}
	stdout, err := cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(cmd.Start())
	kill := time.AfterFunc(patience, func() { _ = cmd.Process.Kill() })
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	kill.Stop()
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), line, 0o600))
	var ready struct {
		Address   string
		Instances []struct{ Upstream, Control string }
	}
	ts.Check(json.Unmarshal(line, &ready))
	ts.Setenv(args[0]+"_address", ready.Address)
	if len(ready.Instances) > 0 {
		ts.Setenv(args[0]+"_upstream", ready.Instances[0].Upstream)
		ts.Setenv(args[0]+"_control", ready.Instances[0].Control)
	}
	ts.Value(processesKey{}).(processes)[args[0]] = cmd
	ts.Defer(func() { _ = cmd.Process.Kill() })
}

// terminateProcess runs "terminate NAME": it sends SIGTERM and wants exit code 0.
func terminateProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: terminate NAME")
	}
	cmd := ts.Value(processesKey{}).(processes)[args[0]]
	if cmd == nil {
		ts.Fatalf("no process %s", args[0])
	}
	ts.Check(cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(patience, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	ts.Check(cmd.Wait())
}

// fetch runs "fetch METHOD URL [FILE]": it sends the file as the body and prints
// the answer. A status of 400 or above is a failure.
func fetch(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 || len(args) > 3 {
		ts.Fatalf("usage: fetch METHOD URL [FILE]")
	}
	var body io.Reader
	if len(args) == 3 {
		body = strings.NewReader(ts.ReadFile(args[2]))
	}
	req, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	resp, err := (&http.Client{Timeout: patience}).Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	_, err = io.Copy(ts.Stdout(), resp.Body)
	ts.Check(err)
	if failed := resp.StatusCode >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("status %s", resp.Status)
	}
}

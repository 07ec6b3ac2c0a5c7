// Package scenario runs testscript scenarios that start, pause and kill separate
// processes. Only tests import it.
//
// It adds these commands to those of testscript:
//
//	start NAME PROGRAM ARG...     starts a process; waits for the ready line on its stdout, a JSON object,
//	                              writes the line to the file NAME and sets a variable NAME_FIELD to each address in it
//	terminate NAME                sends SIGTERM and requires exit code 0
//	signal SIGNAL NAME            sends SIGKILL, SIGSTOP or SIGCONT
//	ports NAME...                 sets each variable to a free loopback address
//	expand FILE...                replaces $NAME in the files by the value of the variable
//	fetch METHOD URL [FILE]       sends a request with the file as its body and prints the response; status 400 and above fails
//	eventually SPAN PROGRAM ARG...  repeats the program until it succeeds
//	until SPAN REGEXP PROGRAM ARG...  repeats the program until it succeeds and its stdout matches
//	background NAME PROGRAM ARG...  starts a program whose stdout goes to the file NAME
//	await NAME                    waits for a background program and requires exit code 0
//	instances OUT NAME...         joins the ready lines of workers into one instance list
//	audit RESULT NAME...          checks the invariants on the workers' audits and the callers' result, or - for none
//	mark NAME                     sets the variable to the current time
//	nostarts FROM TO NAME...      checks that no task started on the workers between 5 s after FROM and TO
//	starts SPAN FROM JOB COUNT NAME...  checks that COUNT tasks of the job started, each within SPAN after FROM
//	relay NAME TARGET             starts a TCP relay to the target and sets NAME_address
//	cut NAME                      makes a relay hold back the bytes of both directions
//	heal NAME                     makes a relay forward again
//	pause SPAN                    waits, so that an outage lasts that long
package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/monsoonfold/monsoonfold/internal/standin/address"
)

// processTimeout bounds how long a process takes to become ready, to answer a
// request or to exit.
const processTimeout = 60 * time.Second

// Run runs the scripts in the folder testdata of the calling test.
func Run(t *testing.T) {
	t.Helper()
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey{}] = processes{}
			env.Values[relaysKey{}] = relays{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":      startProcess,
			"terminate":  terminateProcess,
			"signal":     signalProcess,
			"ports":      allocatePorts,
			"expand":     expandVariables,
			"fetch":      fetch,
			"eventually": retryUntilSuccess,
			"until":      retryUntilMatch,
			"background": startBackground,
			"await":      awaitBackground,
			"relay":      startRelay,
			"cut":        cutRelay,
			"heal":       healRelay,
			"instances":  joinInstances,
			"audit":      checkAudits,
			"mark":       markTime,
			"nostarts":   checkNoStarts,
			"starts":     checkStarts,
			"pause":      sleepFor,
		},
	})
}

// process is a process that a script started.
type process struct {
	cmd    *exec.Cmd
	stderr *outputBuffer
}

type processes map[string]*process

type processesKey struct{}

func startProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARG...")
	}
	program, err := exec.LookPath(args[1])
	ts.Check(err)
	p := &process{cmd: exec.Command(program, args[2:]...), stderr: &outputBuffer{}}
	p.cmd.Dir = ts.MkAbs(".")
	p.cmd.Stderr = p.stderr
	stdout, err := p.cmd.StdoutPipe()
	ts.Check(err)
	ts.Check(p.cmd.Start())
	ts.Defer(func() {
		_ = p.cmd.Process.Kill()
		ts.Logf("[stderr of %s]\n%s", args[0], p.stderr)
	})
	kill := time.AfterFunc(processTimeout, func() { _ = p.cmd.Process.Kill() })
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	kill.Stop()
	if err != nil {
		ts.Fatalf("%s: no ready line: %v\n%s", args[0], err, p.stderr)
	}
	go func() { _, _ = io.Copy(io.Discard, stdout) }() // returns when the process exits
	publishReady(ts, args[0], line)
	ts.Value(processesKey{}).(processes)[args[0]] = p
}

// publishReady writes the ready line to the file with the given name and sets a
// variable to each of its addresses.
func publishReady(ts *testscript.TestScript, name string, line []byte) {
	ts.Check(os.WriteFile(ts.MkAbs(name), line, 0o600))
	var ready struct {
		Address   string
		Instances []struct{ Upstream, Control string }
	}
	ts.Check(json.Unmarshal(line, &ready))
	ts.Setenv(name+"_address", ready.Address)
	if len(ready.Instances) > 0 {
		ts.Setenv(name+"_upstream", ready.Instances[0].Upstream)
		ts.Setenv(name+"_control", ready.Instances[0].Control)
	}
}

func terminateProcess(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: terminate NAME")
	}
	p := findProcess(ts, args[0])
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	kill := time.AfterFunc(processTimeout, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		ts.Fatalf("%s: %v\n%s", args[0], err, p.stderr)
	}
}

func signalProcess(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	if neg || len(args) != 2 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal KILL|STOP|CONT NAME")
	}
	ts.Check(findProcess(ts, args[1]).cmd.Process.Signal(signals[args[0]]))
}

func findProcess(ts *testscript.TestScript, name string) *process {
	p := ts.Value(processesKey{}).(processes)[name]
	if p == nil {
		ts.Fatalf("no process %s", name)
	}
	return p
}

func allocatePorts(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		free, err := address.Next()
		ts.Check(err)
		ts.Setenv(name, free)
	}
}

func expandVariables(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		data, err := os.ReadFile(ts.MkAbs(file))
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(os.Expand(string(data), ts.Getenv)), 0o600))
	}
}

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
	resp, err := (&http.Client{Timeout: processTimeout}).Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	_, err = io.Copy(ts.Stdout(), resp.Body)
	ts.Check(err)
	if failed := resp.StatusCode >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("status %s", resp.Status)
	}
}

func retryUntilSuccess(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: eventually SPAN PROGRAM ARG...")
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

func retryUntilMatch(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: until SPAN REGEXP PROGRAM ARG...")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	deadline := time.Now().Add(span)
	for {
		err := ts.Exec(args[2], args[3:]...)
		if err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("not within %s: %s: %v", span, strings.Join(args[2:], " "), err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func startBackground(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: background NAME PROGRAM ARG...")
	}
	program, err := exec.LookPath(args[1])
	ts.Check(err)
	out, err := os.Create(ts.MkAbs(args[0]))
	ts.Check(err)
	p := &process{cmd: exec.Command(program, args[2:]...), stderr: &outputBuffer{}}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = ts.MkAbs("."), out, p.stderr
	ts.Check(p.cmd.Start())
	ts.Check(out.Close())
	ts.Defer(func() { _ = p.cmd.Process.Kill() })
	ts.Value(processesKey{}).(processes)[args[0]] = p
}

func awaitBackground(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: await NAME")
	}
	p := findProcess(ts, args[0])
	kill := time.AfterFunc(processTimeout, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	if err := p.cmd.Wait(); err != nil {
		ts.Fatalf("%s: %v\n%s", args[0], err, p.stderr)
	}
}

func sleepFor(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: pause SPAN")
	}
	span, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(span)
}

// outputBuffer collects the stderr of a process. It is safe for concurrent use,
// since a script reads it while the process runs.
type outputBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *outputBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *outputBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

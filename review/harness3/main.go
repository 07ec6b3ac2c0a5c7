// Command harness3 holds the stand-ins and the cases of the third review: a store and workers
// that speak what the pages of the users' platform say, and one subcommand for each case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	ruleBreak = 1
	notRun    = 2
)

// maxCase is how long a case may take.
const maxCase = 115 * time.Second

var cases = map[string]func(d *deployment, trouble bool) (broken []string, err error){
	"reborn": runReborn,

	"fills":     runFills,
	"fillsgang": runFillsGang,
	"waves":     runWaves,
	"schedule":  runSchedule,
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: harness3 worker|CASE FOLDER")
		os.Exit(notRun)
	}
	if os.Args[1] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(notRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case, writes its record to a folder and returns the exit code.
func runCase(name, folder string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return notRun
	}
	d, err := newDeployment()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		broken, err := run(d, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-stop:
		r.err = fmt.Errorf("stopped")
	case <-time.After(maxCase):
		r.err = fmt.Errorf("not done in %s", maxCase)
	}
	verdict := append([]string{"trouble: " + fmt.Sprint(os.Getenv("TROUBLE") != "0")}, r.broken...)
	if r.err != nil {
		verdict = append(verdict, "not run: "+r.err.Error())
	}
	if err := d.writeRecord(folder, verdict); err != nil && r.err == nil {
		r.err = err
	}
	d.close()
	for _, line := range verdict {
		fmt.Println(line)
	}
	switch {
	case r.err != nil:
		return notRun
	case len(r.broken) > 0:
		return ruleBreak
	}
	return held
}

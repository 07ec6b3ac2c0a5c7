// Command standin runs the cases of the review that are scripts: it starts entries as
// processes and is the platform, the workers and the clients around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit bounds a case.
const timeLimit = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// scriptCase plays a case and returns what broke the rule, or nothing.
type scriptCase func(d *deployment, trouble bool) (broken string, err error)

var cases = map[string]scriptCase{
	"advice":  playAdvice,
	"wave":    playWave,
	"stale":   playStale,
	"reborn":  playReborn,
	"gang":    playGang,
	"failing": playFailing,
	"fills":   playFills,
	"late":    playLate,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCouldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(play scriptCase, folder string, trouble bool) int {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	record.add("disruption: %t", trouble)
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer d.close()
	type result struct {
		broken string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := play(d, trouble)
		results <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	var broken string
	select {
	case r := <-results:
		broken, err = r.broken, r.err
	case <-time.After(timeLimit):
		err = fmt.Errorf("not at its end within %s", timeLimit)
	case s := <-interrupted:
		err = fmt.Errorf("ended by %s", s)
	}
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCouldNot
	case broken != "":
		record.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	record.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

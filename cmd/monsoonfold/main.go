// Command monsoonfold runs an entry of the scheduler, and has the commands with
// which operators control it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/monsoonfold/monsoonfold/internal/desk/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	code := command.Run(ctx, os.Args[1:], command.Streams{Out: os.Stdout, Err: os.Stderr})
	os.Exit(int(code))
}

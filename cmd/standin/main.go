// Command standin runs stand-ins for the platform, for workers and for callers.
package main

import (
	"os"

	"github.com/monsoonfold/monsoonfold/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:])) }

// Command standin runs stand-ins for the platform, workers and callers.
package main

import (
	"os"

	"github.com/monsoonfold/monsoonfold/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:])) }

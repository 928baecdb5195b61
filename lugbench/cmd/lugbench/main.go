// Command lugbench runs stand-ins for what surrounds the fleet, and measures
// the fleet against them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"marigoldlug.example/lugbench/pkg/command"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer stop()
	if err := command.New(os.Stdout, os.Stderr).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lugbench:", err)
		return 1
	}
	return 0
}

// Command lugbench runs fleets with fakes of the platform and of targets, to try them
// out and to test them under faults.
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

// Command lugd runs one VM of the proxy fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"marigoldlug.example/lugd/pkg/command"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.New(os.Stdout, os.Stderr).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lugd:", err)
		return 1
	}
	return 0
}

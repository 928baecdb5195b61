// Command lugctl is the operators' client of the proxy fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"marigoldlug.example/lugctl/pkg/command"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := command.New(os.Stdout, os.Stderr).Run(ctx, os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lugctl:", err)
	}
	return command.ExitCode(err)
}

// Package command is the command line of lugbench.
package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugbench/pkg/playground"
	"marigoldlug.example/lugbench/pkg/soak"
)

// New returns the command line, which writes its output to out and logs of VMs to log.
func New(out, log io.Writer) *cli.Command {
	return &cli.Command{
		Name:   "lugbench",
		Usage:  "fakes of the platform and of targets, a quickstart, and a soak test with faults",
		Writer: out,
		Commands: []*cli.Command{
			{
				Name: "quickstart", Aliases: []string{"q"}, Usage: "run a small fleet on loopback and send requests",
				Action: func(ctx context.Context, _ *cli.Command) error { return quickstart(ctx, out, log) },
			},
			soakCommand(out),
		},
	}
}

// quickstart starts a fleet, sends requests to each VM and prints the statuses of the
// responses.
func quickstart(ctx context.Context, out, log io.Writer) error {
	pgr, err := playground.Start(ctx, playground.Settings{VMs: 3, Targets: 3, Latency: 20 * time.Millisecond, Log: log})
	if err != nil {
		return err
	}
	defer pgr.Close()
	for _, one := range []struct{ method, path, key string }{
		{http.MethodGet, "/recipes/celadon", playground.Key},
		{http.MethodPost, "/orders/frit", playground.Key},
		{http.MethodGet, "/recipes/celadon", "unknown"},
		{http.MethodGet, "/nowhere/", playground.Key},
	} {
		for num, vmm := range pgr.CallerAddresses {
			res, err := playground.SendRequest(ctx, http.DefaultClient, vmm, one.method, one.path, fmt.Sprint("request-", num), one.key, time.Second)
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintf(out, "%-4s %-18s at %s: %d\n", one.method, one.path, vmm, res.Status); err != nil {
				return err
			}
		}
	}
	return nil
}

// soakCommand returns the command that runs a soak and prints its report.
func soakCommand(out io.Writer) *cli.Command {
	var set soak.Settings
	return &cli.Command{
		Name: "soak", Usage: "run lugd processes under random faults and check what callers and targets see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "lugd", Usage: "path of lugd", Value: "target/lugd", Destination: &set.Program},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the random faults", Value: 1, Destination: &set.Seed},
			&cli.IntFlag{Name: "vms", Usage: "number of VMs", Value: 6, Destination: &set.VMs},
			&cli.IntFlag{Name: "targets", Usage: "number of targets", Value: 6, Destination: &set.Targets},
			&cli.IntFlag{Name: "per-second", Usage: "requests a second, besides those that exceed a quota", Value: 60, Destination: &set.PerSecond},
			&cli.DurationFlag{Name: "for", Usage: "how long faults are injected", Value: 20 * time.Second, Destination: &set.FaultTime},
			&cli.BoolFlag{Name: "restores", Usage: "restore the store from backups meanwhile", Value: true, Destination: &set.Restores},
			&cli.StringFlag{Name: "production", Usage: "path of the lugd that VMs run until they are replaced one after the other; empty for none", Destination: &set.Production},
			&cli.StringFlag{Name: "logs", Usage: "directory for the logs of VMs; empty for none", Destination: &set.Logs},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			rep, err := soak.Run(ctx, set)
			if err != nil {
				return err
			}
			return rep.Write(out)
		},
	}
}

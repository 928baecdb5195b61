// Package command is the command line of lugbench.
package command

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugbench/pkg/load"
	"marigoldlug.example/lugbench/pkg/measure"
	"marigoldlug.example/lugbench/pkg/quickstart"
	"marigoldlug.example/lugbench/pkg/standins"
)

// New returns the command line, which writes to out and logs to log.
func New(out, log io.Writer) *cli.Command {
	return &cli.Command{
		Name:   "lugbench",
		Usage:  "stand-ins for platform and targets, and measurements",
		Writer: out,
		Commands: []*cli.Command{
			{
				Name:    "quickstart",
				Aliases: []string{"q"},
				Usage:   "run a small fleet on loopback, apply a release note and send requests",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return quickstart.Demo(ctx, out, log)
				},
			},
			{
				Name:    "load",
				Aliases: []string{"l"},
				Usage:   "send a bounded load through a small fleet on loopback and compare it with a bare relay",
				Action: func(ctx context.Context, _ *cli.Command) error {
					return load.Report(ctx, out, log)
				},
			},
			standinsCommand(),
			driveCommand(out),
			{
				Name:    "measure",
				Aliases: []string{"m"},
				Usage:   "measure the decisions in virtual time and print tables",
				Commands: []*cli.Command{
					report(out, "detection", "time to detect each kind of fault of a target", measure.DetectionReport),
					report(out, "rate", "wrongful refusals and overshoot of rate limits", measure.RateReport),
					report(out, "noise", "false ejections of healthy targets", measure.NoiseReport),
					report(out, "threshold", "detection against false ejections", measure.CurveReport),
					report(out, "fair", "one organisation at ten times its rate", measure.FairReport),
					report(out, "brownout", "recovery after a brown-out and retries when all fails", measure.BrownOutReport),
					{
						Name: "plot", Usage: "draw detection against the ejection threshold", ArgsUsage: "FILE",
						Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "number of seeds for each point", Value: 20}},
						Action: func(_ context.Context, cmd *cli.Command) error {
							if cmd.Args().Len() != 1 {
								return errors.New("plot takes one argument: the file to draw into")
							}
							return measure.PlotThreshold(cmd.Args().First(), cmd.Int("seeds"))
						},
					},
					report(out, "release", "how long a release takes to be in force", measure.ReleaseReport),
					report(out, "chaos", "random schedules of faults, and what did not hold", measure.ChaosReport),
					report(out, "capacity", "what control and configuration cost as they grow", measure.CapacityReport),
					report(out, "load", "how callers fare at several loads", measure.LoadReport),
				},
			},
		},
	}
}

// report is a command that prints one report.
func report(out io.Writer, name, usage string, show func(out io.Writer, seeds int) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags:  []cli.Flag{&cli.IntFlag{Name: "seeds", Usage: "number of seeds for each figure", Value: 20}},
		Action: func(_ context.Context, cmd *cli.Command) error { return show(out, cmd.Int("seeds")) },
	}
}

func standinsFlags(set *standins.Settings) []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "base", Usage: "port of the platform; the targets follow", Value: 18000, Destination: &set.Base},
		&cli.IntFlag{Name: "targets", Usage: "number of targets", Value: 4, Destination: &set.Targets},
	}
}

func standinsCommand() *cli.Command {
	var set standins.Settings
	return &cli.Command{
		Name: "standins", Usage: "run the platform and targets for VMs that run as processes", Flags: standinsFlags(&set),
		Action: func(ctx context.Context, _ *cli.Command) error { return standins.Run(ctx, set) },
	}
}

func driveCommand(out io.Writer) *cli.Command {
	var set standins.Settings
	return &cli.Command{
		Name: "drive", Usage: "send orders to the VMs at the given addresses and compare answers with runs", ArgsUsage: "ADDRESS...",
		Flags: append(standinsFlags(&set),
			&cli.BoolFlag{Name: "note", Usage: "print the release note for the targets instead"},
			&cli.IntFlag{Name: "per-second", Usage: "requests a second", Value: 50},
			&cli.DurationFlag{Name: "for", Usage: "how long to send", Value: 20 * time.Second},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Bool("note") {
				_, err := io.WriteString(out, standins.Note(set))
				return err
			}
			if cmd.Args().Len() == 0 {
				return errors.New("no address of a VM is given")
			}
			return standins.Drive(ctx, set, cmd.Args().Slice(), cmd.Int("per-second"), cmd.Duration("for"), out)
		},
	}
}

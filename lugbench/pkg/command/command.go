// Package command is the command line of lugbench.
package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugbench/pkg/measure"
	"marigoldlug.example/lugbench/pkg/quickstart"
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
				Name:    "measure",
				Aliases: []string{"m"},
				Usage:   "measure the decisions in virtual time and print tables",
				Commands: []*cli.Command{
					{
						Name: "detection", Usage: "time to detect each kind of fault of a target",
						Flags:  []cli.Flag{seedsFlag()},
						Action: func(_ context.Context, cmd *cli.Command) error { return measure.DetectionReport(out, cmd.Int("seeds")) },
					},
				},
			},
		},
	}
}

func seedsFlag() cli.Flag {
	return &cli.IntFlag{Name: "seeds", Usage: "number of seeds for each figure", Value: 20}
}

// Package command is the command line of lugd.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/pkg/daemon"
	"marigoldlug.example/lugd/pkg/logflags"
	"marigoldlug.example/lugd/pkg/settings"
)

// New returns the command line, which writes to out and logs to log.
func New(out, log io.Writer) *cli.Command {
	set := settings.Default()
	return &cli.Command{
		Name:   "lugd",
		Usage:  "run one VM of the marigoldlug proxy fleet",
		Writer: out,
		Commands: []*cli.Command{
			{
				Name:    "run",
				Aliases: []string{"r"},
				Usage:   "serve until SIGTERM, then stop gracefully",
				Flags:   flags(&set),
				Action: func(ctx context.Context, _ *cli.Command) error {
					return run(ctx, set, log)
				},
			},
			{
				Name:    "settings",
				Aliases: []string{"s"},
				Usage:   "check the settings and print those in force",
				Flags:   flags(&set),
				Action: func(_ context.Context, cmd *cli.Command) error {
					return show(out, cmd, set)
				},
			},
		},
	}
}

func run(ctx context.Context, set settings.Settings, log io.Writer) error {
	lgs, err := logflags.New(log, set.LogFormat, set.LogVerbose)
	if err != nil {
		return err
	}
	dmn, err := daemon.New(ctx, set, lgs)
	if err != nil {
		return err
	}
	return dmn.Run(ctx)
}

func show(out io.Writer, cmd *cli.Command, set settings.Settings) error {
	for _, flg := range cmd.Flags {
		name := flg.Names()[0]
		if name == "help" {
			continue
		}
		if _, err := fmt.Fprintf(out, "%s=%v\n", name, cmd.Value(name)); err != nil {
			return err
		}
	}
	return set.Check()
}

package edge

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/pkg/logflags"
)

// Main runs the program of a VM whose settings file is named by the environment
// variable fileVariable, and returns its exit code.
func Main(wir Wiring, fileVariable string) int {
	sgs := takeSignals()
	if err := command(wir, fileVariable, sgs, os.Stdout).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lugd:", err)
		return 1
	}
	return 0
}

// command returns the command line, which writes to out.
func command(wir Wiring, fileVariable string, sgs *signals, out io.Writer) *cli.Command {
	run := func(ctx context.Context, set Settings, path string, args []string) error {
		rng := logflags.NewRing(out)
		defer rng.Close()
		lgs, err := logflags.New(rng, set.LogFormat, set.LogVerbose)
		if err != nil {
			return err
		}
		log := lgs.Logger(logflags.Daemon)
		log.Info("starting")
		dmn, err := New(ctx, set, wir, lgs)
		if err != nil {
			return err
		}
		reload := watchFile(ctx, path, args, sgs.reload, dmn.signalled, log)
		return dmn.Run(sgs.stopContext(dmn.signalled), reload)
	}
	return &cli.Command{
		Name:   "lugd",
		Usage:  "run one VM of the marigoldlug proxy fleet",
		Writer: out,
		Commands: []*cli.Command{
			subcommand("run", "serve until SIGTERM, then stop gracefully", fileVariable, run),
			subcommand("settings", "check the settings and print those in force", fileVariable, func(_ context.Context, set Settings, _ string, _ []string) error {
				return show(out, set)
			}),
		},
	}
}

// subcommand returns a command that is given the settings of the file, of the
// environment and of its flags, of which the latter go first.
func subcommand(name, usage, fileVariable string, act func(ctx context.Context, set Settings, path string, args []string) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, SkipFlagParsing: true,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := os.Getenv(fileVariable)
			set, err := load(ctx, path, cmd.Args().Slice())
			if err != nil {
				return err
			}
			return act(ctx, set, path, cmd.Args().Slice())
		},
	}
}

// load reads the settings.
func load(ctx context.Context, path string, args []string) (Settings, error) {
	set := DefaultSettings()
	all := []string{"lugd"}
	if path != "" {
		lines, err := readFile(path)
		if err != nil {
			return set, fmt.Errorf("cannot read the settings: %w", err)
		}
		all = append(all, lines...)
	}
	all = append(all, args...)
	cmd := &cli.Command{Name: "lugd", Flags: set.Flags(), Action: func(context.Context, *cli.Command) error { return nil }}
	if err := cmd.Run(ctx, all); err != nil {
		return set, err
	}
	return set, set.Check()
}

func show(out io.Writer, set Settings) error {
	for _, flg := range set.Flags() {
		if doc, ok := flg.(cli.DocGenerationFlag); ok {
			if _, err := fmt.Fprintf(out, "%s=%s\n", flg.Names()[0], doc.GetValue()); err != nil {
				return err
			}
		}
	}
	return nil
}

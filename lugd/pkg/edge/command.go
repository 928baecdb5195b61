package edge

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/pkg/logflags"
)

// Main runs the program of a VM and returns its exit code.
func Main(wir Wiring, fileVariable string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := Command(wir, fileVariable, os.Stdout, os.Stdout).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "lugd:", err)
		return 1
	}
	return 0
}

// Command returns the command line of a VM whose settings file is named by the
// environment variable fileVariable. It writes to out and logs to log.
func Command(wir Wiring, fileVariable string, out, log io.Writer) *cli.Command {
	run := func(ctx context.Context, set Settings, path string, args []string) error {
		rng := logflags.NewRing(log)
		defer rng.Close()
		lgs, err := logflags.New(rng, set.LogFormat, set.LogVerbose)
		if err != nil {
			return err
		}
		dmn, err := New(ctx, set, wir, lgs)
		if err != nil {
			return err
		}
		return dmn.Run(ctx, watchFile(ctx, path, args, lgs.Logger(logflags.Daemon)))
	}
	return &cli.Command{
		Name:   "lugd",
		Usage:  "run one VM of the marigoldlug proxy fleet",
		Writer: out,
		Commands: []*cli.Command{
			command("run", "serve until SIGTERM, then stop gracefully", fileVariable, run),
			command("settings", "check the settings and print those in force", fileVariable, func(_ context.Context, set Settings, _ string, _ []string) error {
				return show(out, set)
			}),
		},
	}
}

// command returns a command that is given the settings of the file, of the
// environment and of its flags, of which the latter go first.
func command(name, usage, fileVariable string, act func(ctx context.Context, set Settings, path string, args []string) error) *cli.Command {
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

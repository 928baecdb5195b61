package edge

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
	"go.opentelemetry.io/otel"

	"marigoldlug.example/lugd/pkg/logflags"
)

// Main runs the program lugd and returns its exit code. The environment variable
// fileVariable holds the path of the settings file.
func Main(adp PlatformAdapter, fileVariable string) int {
	sgs := catchSignals()
	err := command(adp, fileVariable, sgs, os.Stdout).Run(context.Background(), os.Args)
	if err == nil {
		return 0
	}
	// A direct write could block, since the reader of standard error may have stopped reading.
	awr := logflags.NewAsyncWriter(os.Stderr)
	defer awr.Close()
	_, _ = fmt.Fprintln(awr, "lugd:", err) // An AsyncWriter never fails.
	return 1
}

// command returns the root command, whose output goes to out.
func command(adp PlatformAdapter, fileVariable string, sgs *signals, out io.Writer) *cli.Command {
	run := func(ctx context.Context, set Settings, src *settingsSource) error {
		sgs.catchStopSignals()
		awr := logflags.NewAsyncWriter(out)
		defer awr.Close()
		lgs, err := logflags.New(awr, set.LogFormat, set.LogVerbose)
		if err != nil {
			return err
		}
		log := lgs.Logger(logflags.Daemon)
		redirectLibraryLogs(log)
		log.Info("starting")
		dmn, err := New(ctx, set, adp, lgs)
		if err != nil {
			return err
		}
		dmn.metrics.Counter("log_lines_dropped_total", "Log lines that found no room or no reader.", func() float64 { return float64(awr.Dropped()) })
		reload := src.watch(ctx, sgs.reload, dmn.recordSignal, log)
		return dmn.Run(sgs.stopContext(dmn.recordSignal), reload)
	}
	return &cli.Command{
		Name:   "lugd",
		Usage:  "run one VM of the marigoldlug proxy fleet",
		Writer: out,
		Commands: []*cli.Command{
			subcommand("run", "serve until SIGTERM, then stop gracefully", fileVariable, run),
			subcommand("settings", "check the settings and print those in force", fileVariable, func(_ context.Context, set Settings, _ *settingsSource) error {
				return printSettings(out, set)
			}),
		},
	}
}

// redirectLibraryLogs logs what libraries would write to standard error, so that it is
// structured and never blocks on a reader. The log event "traces" is an error of OpenTelemetry,
// for instance a failure to export spans.
func redirectLibraryLogs(log logrus.FieldLogger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(lineWriter{log: log})
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) { log.WithError(err).Warn("traces") }))
}

// lineWriter logs each line that a library writes to the standard logger, as the log event
// "library".
type lineWriter struct{ log logrus.FieldLogger }

// Write never fails.
func (wrt lineWriter) Write(line []byte) (int, error) {
	wrt.log.WithField("line", strings.TrimSpace(string(line))).Warn("library")
	return len(line), nil
}

// subcommand returns a command that loads the settings and calls act with them. Flags
// override the environment, which overrides the settings file.
func subcommand(name, usage, fileVariable string, act func(ctx context.Context, set Settings, src *settingsSource) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, SkipFlagParsing: true,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			src := &settingsSource{path: os.Getenv(fileVariable), args: cmd.Args().Slice()}
			set, err := src.load(cmd.Root().Writer)
			if err != nil {
				return err
			}
			return act(ctx, set, src)
		},
	}
}

// printSettings writes the settings as lines of the form name=value.
func printSettings(out io.Writer, set Settings) error {
	for _, flg := range set.Flags() {
		if doc, ok := flg.(cli.DocGenerationFlag); ok {
			if _, err := fmt.Fprintf(out, "%s=%s\n", flg.Names()[0], doc.GetValue()); err != nil {
				return err
			}
		}
	}
	return nil
}

package edge

import (
	"bytes"
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/pkg/driver"
)

const (
	// filePollInterval is how often the settings file is checked for changes.
	filePollInterval = 2 * time.Second
	// fileSettleTime is how long a changed file must stay the same to count as
	// completely written, and fileSettleTries the maximum number of times that it is
	// loaded again because it did not.
	fileSettleTime  = 50 * time.Millisecond
	fileSettleTries = 10
)

// settingsSource is where the settings of a process come from: a file, environment
// variables, which override it, and command line flags, which override both.
type settingsSource struct {
	// path is the path of the file; empty if there is none.
	path string
	// args are the command line flags.
	args []string
	// content is the content of the file when it was last read; nil if it could not be
	// read, and empty but not nil for an empty file.
	content []byte
}

// load reads and checks the settings. Help and usage errors go to out.
func (src *settingsSource) load(out io.Writer) (Settings, error) {
	set := DefaultSettings()
	lines, err := src.read()
	if err != nil {
		return set, err
	}
	cmd := &cli.Command{
		Name: "lugd", Usage: "settings of a VM", Flags: set.Flags(), Writer: out, ErrWriter: out,
		Action: func(context.Context, *cli.Command) error { return nil },
	}
	all := append([]string{"lugd"}, slices.DeleteFunc(lines, setInEnvironment)...)
	// With the context of another command, cli would write to that command's writer.
	if err := cmd.Run(context.Background(), append(all, src.args...)); err != nil {
		return set, err
	}
	return set, set.Check()
}

// setInEnvironment reports whether the environment sets the flag in an argument of the form
// --name=value, and so overrides the file that the argument is from.
func setInEnvironment(arg string) bool {
	name, _, _ := strings.Cut(strings.TrimPrefix(arg, "--"), "=")
	return os.Getenv(envVariable(name)) != ""
}

// read returns the settings of the file as flags, and keeps its content.
func (src *settingsSource) read() ([]string, error) {
	src.content = nil
	if src.path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(src.path)
	if err != nil {
		return nil, err
	}
	src.content = append([]byte{}, raw...)
	return parseFile(src.path, raw)
}

// changed reports whether the file differs from what was last read.
func (src *settingsSource) changed() bool {
	if src.path == "" {
		return false
	}
	raw, err := os.ReadFile(src.path)
	if err != nil || src.content == nil {
		// A file that became readable or unreadable has changed; load returns the error.
		return (err == nil) != (src.content != nil)
	}
	return !bytes.Equal(raw, src.content)
}

// reload loads the settings again until the file stays the same for fileSettleTime, so that
// a file that is just being written is not applied in part. After fileSettleTries further
// loads it returns the last settings, even if the file still changes.
func (src *settingsSource) reload(ctx context.Context) (Settings, error) {
	set, err := src.load(io.Discard)
	for range fileSettleTries {
		driver.Sleep(ctx, fileSettleTime)
		if !src.changed() {
			break
		}
		set, err = src.load(io.Discard)
	}
	return set, err
}

// watch loads the settings again on each signal from hup, which it also passes to
// onSignal, and whenever the file has changed. Until ctx ends, it delivers them on the
// returned channel if they are valid, else logs the error.
func (src *settingsSource) watch(ctx context.Context, hup <-chan os.Signal, onSignal func(sig os.Signal), log logrus.FieldLogger) <-chan Settings {
	out := make(chan Settings)
	go func() {
		tck := time.NewTicker(filePollInterval)
		defer tck.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case sig := <-hup:
				onSignal(sig)
			case <-tck.C:
				if !src.changed() {
					continue
				}
			}
			set, err := src.reload(ctx)
			if err != nil {
				log.WithError(err).Error("cannot load the new settings; the previous ones stay in force")
				continue
			}
			select {
			case out <- set:
			case <-ctx.Done():
			}
		}
	}()
	return out
}

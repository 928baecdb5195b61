package edge

import (
	"bytes"
	"context"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/pkg/driver"
)

const (
	// filePollInterval is how often the settings file is compared with what was read.
	filePollInterval = 2 * time.Second
	// fileSettleTime is how long a changed file must stay the same before it is
	// taken to be written whole, and fileSettleTries bounds the wait for that.
	fileSettleTime  = 50 * time.Millisecond
	fileSettleTries = 10
)

// settingsSource is where the settings of a process come from: a file, and flags that go
// before it.
type settingsSource struct {
	// path is empty where there is no file.
	path string
	args []string
	// content is what the file held when it was last read; nil where it could not
	// be, unlike an empty file.
	content []byte
}

// load reads the settings. Help and hints on usage go to out.
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
	all := append([]string{"lugd"}, lines...)
	// In the context of another command it would write where that one does.
	if err := cmd.Run(context.Background(), append(all, src.args...)); err != nil {
		return set, err
	}
	return set, set.Check()
}

// read returns the settings of the file as flags.
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

// changed reports whether the file holds something else than what was read.
func (src *settingsSource) changed() bool {
	if src.path == "" {
		return false
	}
	raw, err := os.ReadFile(src.path)
	if err != nil || src.content == nil {
		// That it cannot be read is told when it is loaded.
		return (err == nil) != (src.content != nil)
	}
	return !bytes.Equal(raw, src.content)
}

// reload reads the settings anew, once the file stays the same.
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

// watch delivers the settings anew on each signal of hup, which is told, and when
// the file has changed without one.
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
				log.WithError(err).Error("the new settings are wrong; the old ones stay in force")
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

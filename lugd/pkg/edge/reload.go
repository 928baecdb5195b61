package edge

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// fileInterval is how often the settings file is compared with what was read.
const fileInterval = 2 * time.Second

// watchFile delivers the settings anew on each signal of hup, which is told, and
// when the file at path has changed without one.
func watchFile(ctx context.Context, path string, args []string, hup <-chan os.Signal, tell func(sig os.Signal), log logrus.FieldLogger) <-chan Settings {
	out := make(chan Settings)
	go func() {
		tck := time.NewTicker(fileInterval)
		defer tck.Stop()
		before := content(path, log)
		for {
			select {
			case <-ctx.Done():
				return
			case sig := <-hup:
				tell(sig)
			case <-tck.C:
				if path == "" || bytes.Equal(content(path, log), before) {
					continue
				}
			}
			before = content(path, log)
			set, err := load(ctx, path, args)
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

// content returns what the file holds, nothing where it cannot be read.
func content(path string, log logrus.FieldLogger) []byte {
	if path == "" {
		return nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		log.WithError(err).Warn("cannot read the settings file")
	}
	return raw
}

package command

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/issue"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugctl/pkg/release"
)

// oneConfig is a Store that holds one configuration at version 1 and no releases.
type oneConfig struct {
	Store

	stored release.StoredConfig
}

func (one *oneConfig) Current(context.Context) (release.StoredConfig, error) { return one.stored, nil }

func (one *oneConfig) Release(context.Context, uint64) (release.Entry, error) {
	return release.Entry{}, release.ErrNoRelease
}

func (one *oneConfig) Releases(context.Context) ([]release.Entry, error) { return nil, nil }

func (one *oneConfig) AddRelease(context.Context, release.Entry) error { return nil }

func (one *oneConfig) Replace(_ context.Context, _ release.StoredConfig, version uint64, con config.Content) error {
	one.stored = release.StoredConfig{Version: version, Revision: 1, Content: con}
	return nil
}

// TestCheck runs the scripts in testdata/check. "stored" sets the configuration in force to the one that a note makes, "run" runs lugctl
// with the note in its input and prints the output and the exit code. They guard against notes whose faults are found only once they
// are in force, and against scripts that take a faulty note for a sound one.
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		sto := &oneConfig{}
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			if dat.Cmd == "stored" {
				sto.stored = storedBy(t, dat.Input)
				return ""
			}
			file := filepath.Join(t.TempDir(), "note.yaml")
			if err := os.WriteFile(file, []byte(dat.Input), 0o600); err != nil {
				t.Fatal(err)
			}
			args := []string{"lugctl", "--platform", "127.0.0.1:1", "--address", "http://127.0.0.1:1", "--wait", "1ms"}
			for _, arg := range dat.CmdArgs {
				args = append(args, arg.Key)
			}
			var out, progress bytes.Buffer
			cmd := New(func(string) Store { return sto }, &out, &progress)
			err := cmd.Run(context.Background(), append(args, file))
			first, _, _ := strings.Cut(progress.String(), "version")
			lines := strings.Split(out.String()+first, "\n")
			for num := range lines {
				lines[num] = strings.TrimRight(lines[num], " ")
			}
			return fmt.Sprintf("%sexit %d\n", strings.Join(lines, "\n"), ExitCode(err))
		})
	})
}

// storedBy returns the configuration that a note makes of an empty one, with an issue.
func storedBy(t *testing.T, doc string) release.StoredConfig {
	t.Helper()
	nte, err := note.Read([]byte(doc))
	if err != nil {
		t.Fatal(err)
	}
	con, err := nte.Apply(config.Content{}, config.Content{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	iss := issue.Issue{Object: "routes/reads", Field: "methods", Found: "an unknown field", Assumed: "ignored"}
	return release.StoredConfig{Version: 1, Revision: 1, Content: con, Issues: []issue.Issue{iss}}
}

package note

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/config"
)

// TestNotes runs the scripts in testdata. "apply" reads a note and applies it, with the version
// that it names as its base, and prints the errors, the conflicts or the differences. "show"
// prints the current configuration.
func TestNotes(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		versions := []config.Content{{}}
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			current := versions[len(versions)-1]
			if dat.Cmd == "show" {
				return Render(current)
			}
			nte, err := Read([]byte(dat.Input))
			if err != nil {
				return err.Error() + "\n"
			}
			next, err := nte.Apply(versions[nte.Base], current, uint64(len(versions)-1))
			if err != nil {
				return err.Error() + "\n"
			}
			versions = append(versions, next)
			var out strings.Builder
			for _, dif := range Diff(current, next) {
				fmt.Fprintf(&out, "%s.%s: %q -> %q\n", dif.Object, dif.Field, dif.Before, dif.After)
			}
			return out.String()
		})
	})
}

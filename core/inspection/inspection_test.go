package inspection

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"marigoldlug.example/core/config"
)

// TestFindings runs the script in testdata. "inspect" prints the findings about the configuration in its input, which has the names of
// the Go fields; with "no-budget" VMs have no retry budget. "new" prints those that the configuration before does not have. The
// script guards against contradictions that are not found, and against findings about a sound configuration.
func TestFindings(t *testing.T) {
	var before config.Content
	datadriven.RunTest(t, "testdata/findings", func(t *testing.T, dat *datadriven.TestData) string {
		var con config.Content
		if err := json.Unmarshal([]byte(dat.Input), &con); err != nil {
			return err.Error()
		}
		fins := Of(con, Budget{Known: dat.HasArg("no-budget")})
		if dat.Cmd == "new" {
			fins = New(before, con, Budget{})
		}
		before = con
		var out strings.Builder
		for _, fin := range fins {
			fmt.Fprintf(&out, "%s %s: %s\n", fin.Object, fin.Field, fin.Message)
		}
		return out.String()
	})
}

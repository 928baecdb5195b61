package explain

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTimelines guards against timelines that lack a line on the request, show lines on other
// requests or targets, are out of order or fail on lines of other programs. It runs the scripts in
// testdata: "log VM" adds lines to the log of a VM, "tell REQUEST" prints the timeline of a request.
func TestTimelines(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		logs := make(map[string]string)
		var names []string
		datadriven.RunTest(t, path, func(t *testing.T, dat *datadriven.TestData) string {
			name := dat.CmdArgs[0].Key
			if dat.Cmd == "log" {
				logs[name] = dat.Input
				names = append(names, name)
				return ""
			}
			rdr := New(name)
			for _, vmm := range names {
				if err := rdr.Read(strings.NewReader(logs[vmm]), vmm); err != nil {
					return err.Error()
				}
			}
			tli, found := rdr.Timeline()
			if !found {
				return "nothing found\n"
			}
			var out strings.Builder
			if err := tli.WriteText(&out); err != nil {
				return err.Error()
			}
			return out.String()
		})
	})
}

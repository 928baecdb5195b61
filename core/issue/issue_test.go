package issue

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestBook runs the script in testdata. "set" reads an object with the fields in its input that are not understood, "remove" and
// "retain" say which objects exist no longer; all print what is to be logged and the number of issues. The script guards against
// logs that repeat at each read, and against issues that are never logged or never forgotten.
func TestBook(t *testing.T) {
	boo := NewBook()
	datadriven.RunTest(t, "testdata/book", func(t *testing.T, dat *datadriven.TestData) string {
		var out strings.Builder
		var kind, name string
		var version uint64
		dat.ScanArgs(t, "kind", &kind)
		dat.MaybeScanArgs(t, "name", &name)
		dat.MaybeScanArgs(t, "version", &version)
		switch dat.Cmd {
		case "set":
			var iss []Issue
			for _, field := range strings.Fields(dat.Input) {
				field, found, _ := strings.Cut(field, "=")
				iss = append(iss, Issue{Field: field, Found: found, Assumed: "ignored"})
			}
			for _, one := range boo.Set(kind, name, version, iss) {
				fmt.Fprintf(&out, "log %s\n", one)
			}
		case "remove":
			boo.Remove(kind, name)
		case "retain":
			boo.Retain(kind, map[string]bool{name: true})
		}
		fmt.Fprintf(&out, "%d issues\n", boo.Count())
		return out.String()
	})
}

package header

import (
	"bufio"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestAnnouncementsOfTargets reads the head of a response, as targets may send it, well-formed or not.
func TestAnnouncementsOfTargets(t *testing.T) {
	nms := Names{RateLimit: "Rate-Limit", Leaving: "Leaving"}
	datadriven.RunTest(t, "testdata/announcements", func(t *testing.T, dat *datadriven.TestData) string {
		status := http.StatusOK
		if dat.HasArg("status") {
			dat.ScanArgs(t, "status", &status)
		}
		rdr := textproto.NewReader(bufio.NewReader(strings.NewReader(strings.ReplaceAll(dat.Input, "\n", "\r\n") + "\r\n\r\n")))
		hdr, err := rdr.ReadMIMEHeader()
		if err != nil {
			t.Fatal(err)
		}
		ann := nms.Announcement(status, http.Header(hdr))
		out := "limit " + ann.Limit.String()
		if ann.LimitUnreadable {
			out += " (unreadable)"
		}
		out += fmt.Sprintf(", leaving %s, retry after %v", strconv.FormatBool(ann.Leaving), ann.RetryAfter)
		if ann.Unreadable != "" {
			out += ", unreadable " + ann.Unreadable
		}
		return out + "\n"
	})
}

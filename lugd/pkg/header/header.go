// Package header holds the names of the HTTP headers that the fleet exchanges with callers and
// targets, and removes hop-by-hop headers.
package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names are the names of the headers in use. A header with an empty name is not used.
type Names struct {
	// Request carries the ID that the caller gave the request. Targets repeat it in their responses.
	Request string
	// Timeout carries the time left for a request, in units of TimeoutUnit.
	Timeout     string
	TimeoutUnit time.Duration
	// ExpectTarget carries the ID of the target that the request is meant for. Other targets
	// refuse to run the request.
	ExpectTarget string
	// Target carries the ID of the target that responds.
	Target string
	// Organisation tells targets for which organisation a request runs.
	Organisation string
	// NotRun is set by targets on responses to requests that they have not run.
	NotRun string
	// RateLimit and Leaving are set by targets on all responses while they announce a limit, in requests
	// per second, or that they are leaving, with the value 1.
	RateLimit, Leaving string
}

// maxTimeout is the longest timeout that a caller may set.
const maxTimeout = time.Hour

// FormatTimeout returns the time left as a value of the Timeout header, rounded down to whole units.
func (nms Names) FormatTimeout(left time.Duration) string {
	return strconv.FormatInt(int64(max(left, 0)/nms.TimeoutUnit), 10)
}

// ParseTimeout returns the timeout that the caller has set, or 0 if it set none, and whether the
// header is absent or valid.
func (nms Names) ParseTimeout(hdr http.Header) (time.Duration, bool) {
	txt := hdr.Get(nms.Timeout)
	if txt == "" {
		return 0, true
	}
	val, err := strconv.ParseFloat(txt, 64)
	if err != nil || !(val > 0) || val > float64(maxTimeout/nms.TimeoutUnit) {
		return 0, false
	}
	return time.Duration(val * float64(nms.TimeoutUnit)), true
}

// hopByHopHeaders are those of RFC 9110, section 7.6.1, and some that older software uses.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that are meant for one connection only: the usual ones and
// those that the Connection header lists.
func RemoveHopByHop(hdr http.Header) {
	for _, line := range hdr.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				hdr.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		hdr.Del(name)
	}
}

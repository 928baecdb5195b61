// Package header names the HTTP headers by which the fleet speaks to callers
// and targets, and removes those that concern one connection only.
package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names are the headers in use. An empty name stands for a header that is not
// used.
type Names struct {
	// Request identifies a caller's request; targets repeat it in their answers.
	Request string
	// Timeout carries the time left for a request, in TimeoutUnit.
	Timeout     string
	TimeoutUnit time.Duration
	// ExpectTarget names the target that is meant; another one refuses to run
	// the request.
	ExpectTarget string
	// Target names the target that answers.
	Target string
	// Organisation tells targets for whom a request runs.
	Organisation string
	// NotRun is set by targets on answers to requests that they have not run.
	NotRun string
}

// maxTimeout bounds the time that a caller may allow.
const maxTimeout = time.Hour

// FormatTimeout returns the value of the timeout header, rounded down.
func (nms Names) FormatTimeout(left time.Duration) string {
	return strconv.FormatInt(int64(max(left, 0)/nms.TimeoutUnit), 10)
}

// ParseTimeout returns the time that the caller allows, 0 without bound, and
// whether the header can be read.
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

// hopByHopHeaders are the headers of one connection by RFC 9110 section 7.6.1 and
// older practice.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that concern one connection only, and those
// that the Connection header names.
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

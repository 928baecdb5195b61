package caller

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers that the fleet adds or understands itself.
const (
	// OrganisationHeader tells targets for whom a request runs.
	OrganisationHeader = "Marigoldlug-Organisation"
	// TimeoutHeader carries the seconds left for a request, with decimals.
	TimeoutHeader = "Request-Timeout"
	// LeavingHeader is set by targets that want no new work.
	LeavingHeader = "Marigoldlug-Leaving"
	viaValue      = "1.1 marigoldlug"
)

// hopHeaders are the headers of one connection by RFC 9110 section 7.6.1 and
// older practice.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers that concern one connection only, and
// those that the Connection header names.
func removeHopHeaders(hdr http.Header) {
	for _, line := range hdr.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				hdr.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		hdr.Del(name)
	}
}

// outgoingHeaders returns the headers of the request to a target. The keys
// have been removed from the request already.
func outgoingHeaders(req *http.Request, organisation string) http.Header {
	hdr := req.Header.Clone()
	removeHopHeaders(hdr)
	hdr.Del("Trailer")
	hdr.Del("Expect")
	hdr.Del(OrganisationHeader)
	if organisation != "" {
		hdr.Set(OrganisationHeader, organisation)
	}
	hdr.Add("Via", viaValue)
	if host, _, err := net.SplitHostPort(req.RemoteAddr); err == nil {
		hdr.Add("X-Forwarded-For", host)
	}
	hdr.Set("X-Forwarded-Host", req.Host)
	proto := "http"
	if req.TLS != nil {
		proto = "https"
	}
	hdr.Set("X-Forwarded-Proto", proto)
	if _, found := hdr["User-Agent"]; !found {
		hdr.Set("User-Agent", "") // Keeps net/http from adding its own.
	}
	return hdr
}

// copyAnswerHeaders copies the end-to-end headers of a target's answer.
func copyAnswerHeaders(dst, src http.Header) {
	src = src.Clone()
	removeHopHeaders(src)
	src.Del("Trailer")
	src.Del(LeavingHeader)
	for name, vals := range src {
		dst[name] = append(dst[name], vals...)
	}
	dst.Add("Via", viaValue)
}

// callerTimeout returns the time that the caller allows, and 0 without bound.
func callerTimeout(hdr http.Header) (time.Duration, bool) {
	txt := hdr.Get(TimeoutHeader)
	if txt == "" {
		return 0, true
	}
	sec, err := strconv.ParseFloat(txt, 64)
	if err != nil || sec <= 0 || sec > maxCallerTimeout.Seconds() {
		return 0, false
	}
	return time.Duration(sec * float64(time.Second)), true
}

func showTimeout(left time.Duration) string {
	return strconv.FormatFloat(left.Seconds(), 'f', 3, 64)
}

// plainPath reports whether a path has no dot or empty segments and no encoded
// separators, which targets might read as another path than the routes do.
func plainPath(path, rawPath string) bool {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "//") || strings.ContainsAny(path, "\\\x00") {
		return false
	}
	if strings.Contains(path+"/", "/../") || strings.Contains(path+"/", "/./") {
		return false
	}
	low := strings.ToLower(rawPath)
	return !strings.Contains(low, "%2f") && !strings.Contains(low, "%5c")
}

// plainHost returns the host in lower case without port.
func plainHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

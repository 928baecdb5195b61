package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// problem is the body of a refusal by RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
}

const problemType = "about:blank"

// writeRefusal answers the caller with a refusal and its verdict.
func writeRefusal(wrt http.ResponseWriter, ref request.Refusal) {
	sta := ref.Reason.Status()
	hdr := wrt.Header()
	hdr.Set("Content-Type", "application/problem+json")
	hdr.Set("Cache-Control", "no-store")
	hdr.Set(verdict.Header, ref.Verdict.String())
	if sta == http.StatusUnauthorized {
		hdr.Set("WWW-Authenticate", "Bearer")
	}
	if ref.RetryAfter > 0 {
		hdr.Set("Retry-After", strconv.Itoa(seconds(ref.RetryAfter)))
	}
	wrt.WriteHeader(sta)
	body, err := json.Marshal(problem{
		Type:    problemType,
		Title:   http.StatusText(sta),
		Status:  sta,
		Detail:  ref.Detail,
		Reason:  string(ref.Reason),
		Verdict: ref.Verdict.String(),
	})
	if err != nil {
		panic(err) // A struct of strings and numbers always encodes.
	}
	_, _ = wrt.Write(body) // A caller that is gone cannot be told anything more.
}

// seconds rounds up to whole seconds, at least 1.
func seconds(dur time.Duration) int { return max(int(math.Ceil(dur.Seconds())), 1) }

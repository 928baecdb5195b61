package header

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/rate"
)

const (
	// maxAnnouncedRate is the highest limit that is represented, in requests per second. Higher ones
	// count as this one.
	maxAnnouncedRate = 1e9
	// maxRetryAfter is the longest time for which a target can keep a VM from sending to it. Longer ones
	// count as this one.
	maxRetryAfter = time.Hour
	// maxNumberLength is the length of the longest number that is read, in bytes.
	maxNumberLength = 64
	// maxLoggedValue is how much of an unreadable value is kept for the logs, in bytes.
	maxLoggedValue = 32
)

const retryAfterHeader = "Retry-After"

// Announcement returns what the head of a target's response announces. Of several values of one header
// the one holds that allows the fewest requests.
func (nms Names) Announcement(status int, hdr http.Header) announcement.Announcement {
	var ann announcement.Announcement
	nms.readLimit(hdr, &ann)
	for _, val := range values(hdr, nms.Leaving) {
		switch val {
		case "1":
			ann.Leaving = true
		case "0":
		default:
			noteUnreadable(&ann, nms.Leaving, val)
		}
	}
	if status != http.StatusServiceUnavailable {
		return ann
	}
	for _, val := range values(hdr, retryAfterHeader) {
		sec, ok := parseDecimal(val)
		if !ok {
			noteUnreadable(&ann, retryAfterHeader, val)
			continue
		}
		sec = min(sec, maxRetryAfter.Seconds())
		ann.RetryAfter = max(ann.RetryAfter, time.Duration(sec*float64(time.Second)))
	}
	return ann
}

func (nms Names) readLimit(hdr http.Header, ann *announcement.Announcement) {
	for _, val := range values(hdr, nms.RateLimit) {
		num, ok := parseDecimal(val)
		if !ok {
			noteUnreadable(ann, nms.RateLimit, val)
			continue
		}
		lim := announcement.Limit{Limited: true, Rate: rate.RequestsPerSecond(min(num, maxAnnouncedRate))}
		if !ann.Limit.Limited || lim.Rate < ann.Limit.Rate {
			ann.Limit = lim
		}
	}
	ann.LimitUnreadable = ann.Unreadable != "" && !ann.Limit.Limited
}

// values returns the values of a header. A line may list several, separated by commas. There are none
// if the header is not used.
func values(hdr http.Header, name string) []string {
	if name == "" {
		return nil
	}
	var out []string
	for _, line := range hdr.Values(name) {
		for val := range strings.SplitSeq(line, ",") {
			out = append(out, strings.TrimSpace(val))
		}
	}
	return out
}

// parseDecimal returns the number in a text of digits with at most one decimal point.
func parseDecimal(txt string) (float64, bool) {
	if len(txt) > maxNumberLength || strings.Trim(txt, "0123456789.") != "" || strings.Trim(txt, ".") == "" {
		return 0, false
	}
	num, err := strconv.ParseFloat(txt, 64)
	return num, err == nil
}

// noteUnreadable records a value that cannot be read.
func noteUnreadable(ann *announcement.Announcement, name, val string) {
	if ann.Unreadable != "" {
		return // One is enough to find the target by.
	}
	ann.Unreadable = name + ": " + strconv.Quote(val[:min(len(val), maxLoggedValue)])
}

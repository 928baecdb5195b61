package http1

import (
	"strings"
	"testing"
	"time"
)

// TestRaisedHeaderBoundHoldsOnOpenConnections raises the bound on heads while a
// connection is open, as a VM does that hears its configuration after its first
// callers, and sends a head that only the raised bound allows.
func TestRaisedHeaderBoundHoldsOnOpenConnections(t *testing.T) {
	const answer = "200 \"answer to /x\"\n"
	large := strings.Replace(nextRequest, "\n\n", "\nX: "+strings.Repeat("x", 12<<10)+"\n\n", 1)
	tooLarge := strings.Replace(nextRequest, "\n\n", "\nX: "+strings.Repeat("x", 16<<10)+"\n\n", 1)
	for _, one := range []struct {
		name, before, after, want string
	}{
		{"before the first request", "", large, answer},
		{"between requests", nextRequest, large, answer},
		{"while a request is under way", slowRequest, large, "200 \"answer to /slow/1\"\n" + answer},
		{"between requests of which several are sent at once", nextRequest, large + nextRequest + large, answer + answer + answer},
		{"after the first byte of a head", large[:1], large[1:], answer},
		{"after a part of a head", large[:2<<10], large[2<<10:], answer},
		{"and the head is larger still", nextRequest, tooLarge, "431 close\n"},
	} {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			fix := newFixture(t)
			fix.connect(t)
			fix.put(t, one.before)
			if one.before == nextRequest {
				if got := fix.read(1); got != answer {
					t.Fatalf("got %q", got)
				}
			}
			time.Sleep(20 * time.Millisecond) // The server has accepted and reads.
			set := fix.srv.Settings()
			set.HeaderBytes = 16 << 10
			fix.srv.SetSettings(set)
			fix.put(t, one.after)
			if got := fix.read(strings.Count(one.want, "\n")); got != one.want {
				t.Errorf("got %q, want %q", got, one.want)
			}
		})
	}
}

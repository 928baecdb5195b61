package target

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/request"
)

// TestForwardingIsReadAsItWasWritten passes what a VM says of a forwarded request on in a header.
func TestForwardingIsReadAsItWasWritten(t *testing.T) {
	for _, lim := range []announcement.Limit{{}, {Limited: true}, {Limited: true, Rate: 7}} {
		fwd := gateway.Forwarding{
			Service: "svc&=", Run: health.Run{Target: "t %", Born: 5}, Content: request.FingerprintOf("GET", "h", "/", nil),
			Permitted: quarantine.Suspected, From: "vm-1.a", Limit: lim,
		}
		hdr := make(http.Header)
		setForwarding(hdr, Call{Idempotent: true, Forwarding: &fwd}, 1500*time.Millisecond)
		got, cal, err := TakeForwarding(hdr)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fwd, got); diff != "" {
			t.Error(diff)
		}
		if !cal.Idempotent || cal.Timeout != 1500*time.Millisecond || len(hdr) > 0 {
			t.Errorf("got %+v, headers %v", cal, hdr)
		}
	}
}

// TestUnreadableForwardingIsRefused reads headers that another program may have written.
func TestUnreadableForwardingIsRefused(t *testing.T) {
	for _, txt := range []string{"", "%zz", "service=s", "service=s&target=t&born=x&permitted=0&idempotent=true&timeLeft=1s", "timeLeft=-1s"} {
		hdr := http.Header{forwardingHeader: {txt}}
		if fwd, _, err := TakeForwarding(hdr); err == nil {
			t.Errorf("%q was read as %+v", txt, fwd)
		}
	}
}

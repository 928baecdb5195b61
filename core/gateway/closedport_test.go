package gateway

import (
	"testing"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// TestReadyResponseIsDeliveredAsItsContentIsQuarantined has a response arrive that also proves that the port of
// another target is closed, by which the content of both requests is quarantined.
func TestReadyResponseIsDeliveredAsItsContentIsQuarantined(t *testing.T) {
	vmm := newVM(t).load()
	content := request.FingerprintOf("GET", "h", "/open/x", nil)
	var ids []request.ID
	for range 2 {
		vmm.next++
		acts := vmm.step(Arrived{Request: request.Request{ID: vmm.next, Host: "h", Path: "/open/x", Content: content}})
		if _, sent := dispatched(acts); !sent {
			t.Fatal("not dispatched")
		}
		ids = append(ids, vmm.next)
	}
	fpr := vmm.mac.requests[ids[0]].fingerprint
	for _, name := range []string{"gone-1", "gone-2"} {
		vmm.mac.runEnded(vmm.now, fpr, quarantine.End{Run: health.Run{Target: name, Born: 1}, Separate: true})
	}
	vmm.step(AttemptFailed{Request: ids[0], Attempt: 1, Outcome: health.Failure, Verdict: verdict.MayHaveRun, PortClosed: true})
	if len(vmm.mac.contents.closedPorts) != 1 {
		t.Fatal("the closed port is not waited for")
	}
	vmm.mac.contents.closedPorts[0].end.Separate = true
	vmm.now = vmm.now.Add(TickInterval / 2)
	acts := vmm.step(Answered{Request: ids[1], Attempt: 1, Response: Response{Status: 200}})
	if sta := vmm.mac.contents.book.State(fpr); sta != quarantine.Quarantined {
		t.Fatalf("the content is %v", sta)
	}
	relayed := false
	for _, act := range acts {
		switch act := act.(type) {
		case Relay:
			relayed = relayed || act.Request == ids[1]
		case Refuse:
			if act.Request == ids[1] {
				t.Errorf("the request that was answered is refused: %+v", act.Refusal)
			}
		}
	}
	if !relayed {
		t.Error("the response is not delivered")
	}
}

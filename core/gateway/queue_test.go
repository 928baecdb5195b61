package gateway

import (
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

// TestQueuedRequestsAreServedAfterSync delivers requests to a VM before it learns the configuration,
// the targets and the list of VMs, with which it learns what is quarantined. The time in the queue counts towards the timeout of the request.
func TestQueuedRequestsAreServedAfterSync(t *testing.T) {
	vmm := newVM(t)
	vmm.arrive("/open/x", "")
	vmm.arrive("/open/x", "")
	vmm.step(CallerLeft{Request: 1})
	vmm.now = vmm.now.Add(300 * time.Millisecond)
	vmm.config(1, content())
	vmm.step(TargetsRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[registry.Entry]{Whole: true, Revision: 9, Rows: []table.Row[registry.Entry]{
		{Name: "t", Revision: 1, Value: registry.Entry{Service: "svc", Address: "10.0.0.1:80", FailureDomain: "a", Slots: 3}},
	}}})
	if dis, sent := dispatched(vmm.advanceOffline(TickInterval)); sent {
		t.Errorf("%+v before the list of VMs was known", dis)
	}
	vmm.step(FleetRead{RequestedAt: clock.MomentOf(vmm.now), Update: table.Delta[fleet.Row]{Whole: true, Revision: 5, Rows: []table.Row[fleet.Row]{
		{Name: fleet.VMName("vm"), Revision: 2, Value: fleet.Row{VM: vmm.mac.set.Self, Name: "vm"}},
	}}})
	acts := vmm.advanceOffline(TickInterval)
	dis := vmm.mustDispatch(acts)
	if dis.Request != 2 || dis.Timeout > 2*time.Second-300*time.Millisecond {
		t.Errorf("dispatched %+v, want the second request with its remaining time", dis)
	}
	for _, act := range acts {
		if other, ok := act.(Dispatch); ok && other.Request == 1 {
			t.Error("a request was dispatched although its caller left")
		}
	}
}

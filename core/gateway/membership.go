package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/quota"
)

const (
	// registerInterval is the least time between two attempts to have this VM listed.
	registerInterval = time.Second
	// vmSilentTime is how long a listed VM may be silent before it is pinged, and vmLostTime how
	// long before it is taken off the list.
	vmSilentTime = 2 * time.Second
	vmLostTime   = 3500 * time.Millisecond
	// pingInterval is the least time between two pings to the same VM.
	pingInterval = 400 * time.Millisecond
)

// maintainFleet keeps this VM listed unless it is stopping, claims token servers that this VM
// should take over, and takes VMs that do not respond off the list.
func (mac *Machine) maintainFleet(now clock.Instant) {
	if mac.fleet.Revision() == 0 {
		return
	}
	if mac.stopping {
		mac.releaseAll(now)
		return
	}
	listed, rev := mac.fleet.Listed()
	if !listed && (mac.lastRegistered == (clock.Instant{}) || now.Since(mac.lastRegistered) >= registerInterval) {
		mac.lastRegistered = now
		mac.log("enlist", "replaces", mac.fleet.Predecessor())
		mac.emit(Write{Name: fleet.VMName(mac.set.Name), Row: fleet.Row{VM: mac.set.Self, Name: mac.set.Name}, Revision: rev})
	}
	for num := range fleet.TokenServerCount {
		if !mac.fleet.ShouldRenew(now, num) && !mac.fleet.ShouldClaim(now, num) {
			continue
		}
		name := fleet.TokenServerName(num)
		mac.log("claim", "part", num, "before", mac.fleet.Holder(num))
		mac.emit(Write{Name: name, Row: mac.fleet.Claim(now, num, quota.Busy{All: true}), Revision: mac.fleet.ObjectRevision(name)})
	}
	if mac.selector.IsPrimary() {
		mac.evictSilent(now)
	}
}

// evictSilent pings the monitored VMs that are silent, and takes those that do not respond off the
// list.
func (mac *Machine) evictSilent(now clock.Instant) {
	for _, vmm := range mac.monitored() {
		if vmm.ID == mac.set.Self.ID {
			continue
		}
		lastHeard, found := mac.lastHeard[vmm.ID]
		if !found {
			mac.lastHeard[vmm.ID] = now
			continue
		}
		silent := now.Since(lastHeard)
		if silent >= vmLostTime && mac.fleet.ConfirmedAt().Within(vmSilentTime, now) {
			if row, listed := mac.fleet.Row(vmm.ID); listed {
				mac.log("vmLost", "vm", vmm.ID, "silent", silent)
				mac.emit(Delete{Name: row.Name, Revision: row.Revision})
				mac.lastHeard[vmm.ID] = now
			}
			continue
		}
		if silent >= vmSilentTime && now.Since(mac.lastPinged[vmm.ID]) >= pingInterval {
			mac.lastPinged[vmm.ID] = now
			mac.emit(Send{To: vmm.ID, Message: Ping{}})
		}
	}
}

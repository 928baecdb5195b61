package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"marigoldlug.example/lugd/pkg/driver"
)

// upgradeShare is the share of the time with faults in which VMs are replaced.
const upgradeShare = 0.8

// scheduleUpgrades determines when each VM is replaced by one that runs Settings.Program.
func (flt *fleet) scheduleUpgrades(now time.Time) {
	span := time.Duration(upgradeShare * float64(flt.set.FaultTime))
	for num, prc := range flt.vms {
		prc.upgradeAt.Store(now.Add(span * time.Duration(num+1) / time.Duration(len(flt.vms))).UnixNano())
	}
}

// upgrade replaces the VMs one after the other, until ctx is done. Those that go through their phases are replaced by
// their next start.
func (flt *fleet) upgrade(ctx context.Context) {
	for _, prc := range flt.vms {
		driver.Sleep(ctx, time.Until(time.Unix(0, prc.upgradeAt.Load())))
		if ctx.Err() != nil {
			return
		}
		if slices.Contains(flt.faultVMs, prc) && prc.run.Load().program != flt.set.Program {
			prc.restart(syscall.SIGTERM)
		}
	}
}

// program returns the path of the program that the VM runs when it starts now.
func (prc *process) program() string {
	set := prc.flt.set
	at := prc.upgradeAt.Load()
	if set.Production != "" && (at == 0 || at > time.Now().UnixNano()) {
		return set.Production
	}
	return set.Program
}

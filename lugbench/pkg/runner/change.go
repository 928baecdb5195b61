package runner

import (
	"slices"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/member"
)

// withdrawKey writes a release without the key of an organisation.
func (fle *Fleet) withdrawKey(organisation string) {
	fle.Release(func(con config.Content) config.Content {
		con.Keys = slices.DeleteFunc(con.Keys, func(key config.Key) bool { return key.Organisation == organisation })
		return con
	})
}

// withdrawTarget writes a release without a target.
func (fle *Fleet) withdrawTarget(target string) {
	fle.Release(func(con config.Content) config.Content {
		for num := range con.Services {
			svc := &con.Services[num]
			svc.Targets = slices.DeleteFunc(slices.Clone(svc.Targets), func(tgt config.Target) bool { return svc.Name+"/"+tgt.Name == target })
		}
		return con
	})
}

// Pause freezes a VM, or lets it go on with all that it has missed.
func (fle *Fleet) Pause(num int, paused bool) {
	vmm := fle.vms[num]
	vmm.paused = paused
	if paused {
		return
	}
	held := vmm.held
	vmm.held = nil
	for _, do := range held {
		do()
	}
}

// Cut stops or lets pass the messages from one VM to another.
func (fle *Fleet) Cut(from, to int, cut bool) {
	fle.cut[[2]string{fle.vms[from].ID, fle.vms[to].ID}] = cut
}

// Size returns the number of VMs that were ever started.
func (fle *Fleet) Size() int { return len(fle.vms) }

// KillHome ends the VM that is the first home of an organisation.
func (fle *Fleet) KillHome(organisation string) {
	_, vie := fle.Held(0)
	home := vie.Ranked("rate/"+organisation, 1)[0].ID
	for num, vmm := range fle.vms {
		if vmm.ID == home {
			fle.Kill(num)
		}
	}
}

// Join starts another VM, which has to ask to be listed.
func (fle *Fleet) Join() {
	vmm := fle.newVM(len(fle.vms))
	fle.startTicks(vmm)
}

// Held returns the versions and members that a VM holds, for reports.
func (fle *Fleet) Held(num int) (version uint64, view member.View) {
	return fle.vms[num].mac.Head().Version, fle.vms[num].mac.View()
}

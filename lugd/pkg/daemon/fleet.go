package daemon

import (
	"context"
	"slices"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/node"
	"marigoldlug.example/lugd/service/api"
)

// fleet answers operators' questions about the VMs.
type fleet struct {
	dmn *Daemon
}

// Self returns the state of this VM.
func (fle *fleet) Self() api.VM {
	sta, ready := fle.dmn.runtime.Status()
	return api.ConvertStatus(fle.dmn.self, sta, ready)
}

// VMs returns what is known of every VM.
func (fle *fleet) VMs(context.Context) []api.VM { return []api.VM{fle.Self()} }

// Targets returns the targets as this VM sees them.
func (fle *fleet) Targets() []api.Target {
	var out []api.Target
	fle.dmn.runtime.Machine(func(mac *node.Machine, now clock.Instant) {
		sna := mac.Snapshot()
		if sna == nil {
			return
		}
		ejected := mac.Status(now).Ejected
		for _, svc := range sna.Services() {
			for _, tgt := range svc.Targets {
				id := svc.Name + "/" + tgt.Name
				out = append(out, api.Target{
					ID: id, Address: tgt.Address, FailureDomain: tgt.FailureDomain, Ejected: slices.Contains(ejected, id),
				})
			}
		}
	})
	return out
}

// Spread says how far a version has come, as far as this VM knows.
func (fle *fleet) Spread(version uint64) api.Spread {
	var spr api.Spread
	fle.dmn.runtime.Machine(func(mac *node.Machine, now clock.Instant) {
		spr = api.ConvertSpread(version, mac.Spread(), mac.Status(now))
	})
	return spr
}

// Announce makes a head that this VM has just written known at once.
func (fle *fleet) Announce(hea fence.Head) { fle.dmn.runtime.Announce(hea) }

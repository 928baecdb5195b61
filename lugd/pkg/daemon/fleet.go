package daemon

import (
	"context"
	"slices"
	"strings"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/node"
	"marigoldlug.example/lugd/pkg/peer"
	"marigoldlug.example/lugd/service/api"
)

// fleet answers operators' questions about the VMs.
type fleet struct {
	dmn *Daemon
}

// Self returns the state of this VM.
func (fle *fleet) Self() api.VM { return api.ConvertState(fle.dmn.runtime.State()) }

// members returns the IDs of the members of the view.
func (fle *fleet) members() []string {
	var ids []string
	fle.dmn.runtime.Machine(func(mac *node.Machine, _ clock.Instant) {
		for _, vmm := range mac.View().VMs() {
			ids = append(ids, vmm.ID)
		}
	})
	return ids
}

// states asks every member for its state.
func (fle *fleet) states(ctx context.Context, members []string) []peer.State {
	others := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == fle.dmn.self.ID })
	return append(fle.dmn.transport.States(ctx, others), fle.dmn.runtime.State())
}

// VMs returns the states of the members that answer, sorted by ID.
func (fle *fleet) VMs(ctx context.Context) []api.VM {
	var out []api.VM
	for _, sta := range fle.states(ctx, fle.members()) {
		out = append(out, api.ConvertState(sta))
	}
	slices.SortFunc(out, func(one, two api.VM) int { return strings.Compare(one.ID, two.ID) })
	return out
}

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

// Spread says how far a version has come, by what the members themselves say.
func (fle *fleet) Spread(ctx context.Context, version uint64) api.Spread {
	members := fle.members()
	return api.ConvertStates(version, members, fle.states(ctx, members))
}

// Announce makes a head that this VM has just written known at once.
func (fle *fleet) Announce(hea fence.Head) { fle.dmn.runtime.Announce(hea) }

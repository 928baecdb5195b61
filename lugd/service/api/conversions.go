package api

import (
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/lugd/pkg/peer"
)

// ConvertState converts the state that a VM reports of itself.
func ConvertState(sta peer.State) VM {
	out := VM{
		ID: sta.VM.ID, Address: sta.VM.Address, FailureDomain: sta.VM.FailureDomain, Version: sta.Version, VMs: sta.VMs,
		Ready: sta.Ready, Reading: sta.Reading, Follows: sta.Follows, ConfigAgeSeconds: sta.ConfigAge.Seconds(), Requests: sta.Requests,
		Suspected: sta.Suspected,
	}
	if era, known := sta.Era.Told(); known {
		out.StoreEra = &era
	}
	return out
}

// ConvertTarget converts the status of a target as a VM sees it.
func ConvertTarget(tgt gateway.TargetStatus) Target {
	out := Target{
		ID: tgt.ID, Service: tgt.Service, Address: tgt.Address, FailureDomain: tgt.FailureDomain, Leaving: tgt.Leaving, Doubted: tgt.Doubted,
		PausedSeconds: tgt.Paused.Seconds(), Placer: tgt.Placer, Sick: tgt.Sick, Requests: tgt.Requests, Slots: tgt.Slots,
	}
	if tgt.Limit.Limited {
		per := tgt.Limit.Rate.Float()
		out.LimitPerSecond = &per
	}
	return out
}

// ConvertContent converts what a VM knows of a content.
func ConvertContent(con gateway.ContentStatus) Content {
	out := Content{Content: con.Content.String(), State: con.State.String(), Ends: con.Count, Targets: []string{}, Trials: con.Trials}
	for num, end := range con.Ends {
		out.Targets = append(out.Targets, end.Run.Target)
		if age := end.Age.Seconds(); num == 0 || age < out.LastEndSeconds {
			out.LastEndSeconds = age
		}
	}
	return out
}

// ConvertDomain converts what a VM knows of a failure domain.
func ConvertDomain(dom gateway.DomainStatus) Domain {
	return Domain{
		Name: dom.Name, Drained: dom.Drained, Retained: dom.Retained, DrainedSeconds: dom.DrainedFor.Seconds(), Targets: dom.Targets, Requests: dom.Running,
	}
}

// NewRollout returns the rollout of a version to members, the IDs of the listed VMs, by the
// states of the VMs that answered.
func NewRollout(version uint64, members []string, states []peer.State) Rollout {
	out := Rollout{Version: version, VMs: len(members)}
	holding := make(map[string]bool)
	for _, sta := range states {
		holding[sta.VM.ID] = sta.Version >= version
	}
	for _, id := range members {
		if holding[id] {
			out.Holding++
		} else {
			out.Lagging = append(out.Lagging, id)
		}
	}
	out.InForce = out.VMs > 0 && out.Holding == out.VMs
	return out
}

package gateway

import (
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/revision"
)

// Status is a summary of a VM for operators.
type Status struct {
	Version uint64
	// Era is the store's latest era that the VM knows; 0 if it knows none.
	Era revision.Era
	VMs int
	// Reading is set if the VM reads the platform, and Follows is the ID of the VM that it follows,
	// or empty.
	Reading bool
	Follows string
	// Holders lists the IDs of the holders of the token servers, by number.
	Holders  []string
	Ages     Ages
	InFlight int
	Targets  int
	// Suspected lists the targets that this VM, as a placer, suspects to be failing.
	Suspected []string
	Stopping  bool
	// Followers is the number of VMs that follow this one.
	Followers int
	// SuspectedContents and QuarantinedContents are the numbers of contents of requests that this VM knows to
	// have crashed targets, and DroppedContents how many it has dropped for want of room.
	SuspectedContents, QuarantinedContents int
	DroppedContents                        uint64
	// DrainedDomains is the number of failure domains that are drained as far as this VM knows.
	DrainedDomains int
	// Placements counts the answers of this VM as a placer, and Tokens the requests that it decided
	// on as a token server, both by outcome.
	Placements, Tokens map[string]uint64
	// Refusals counts the requests for which this VM as a placer had no target, by priority.
	Refusals map[string]uint64
	// OtherPartitions counts the requests for which a second partition was asked.
	OtherPartitions uint64
	// Loads holds the load of the targets for which this VM is the placer, by service.
	Loads map[string]TargetLoad
}

// TargetLoad is how busy targets are, in requests per slot.
type TargetLoad struct{ Mean, Busiest float64 }

// Status returns the state of the VM at now.
func (mac *Machine) Status(now clock.Instant) Status {
	sta := Status{
		Version: mac.version(), Era: mac.restores.era, VMs: mac.fleet.View().Size(), Reading: mac.reading != nil && mac.reading.On, Follows: mac.selector.Followed(),
		Holders: mac.fleet.Holders(), Ages: mac.ages(now), InFlight: len(mac.requests), Targets: mac.registry.Len(), Stopping: mac.stopping,
		Followers: len(mac.followers), Placements: maps.Clone(mac.placementCounts), Tokens: maps.Clone(mac.tokenCounts),
		Refusals:        maps.Clone(mac.refusalCounts),
		OtherPartitions: mac.otherPartitions, Loads: mac.targetLoads(),
	}
	sta.DrainedDomains = mac.drains.book.Len()
	sta.SuspectedContents, sta.QuarantinedContents, sta.DroppedContents = mac.contents.book.Sizes()
	for _, svc := range mac.services {
		for _, par := range svc.partitions {
			if par.central != nil {
				sta.Suspected = append(sta.Suspected, par.central.Suspected(now)...)
			}
		}
	}
	slices.Sort(sta.Suspected)
	return sta
}

// targetLoads returns the load of the targets for which this VM is the placer, by service.
func (mac *Machine) targetLoads() map[string]TargetLoad {
	out := make(map[string]TargetLoad)
	for name, svc := range mac.services {
		requests, slots, busiest := 0, 0, 0.0
		for _, par := range svc.partitions {
			if par.central == nil || par.placer != mac.set.Self.ID {
				continue
			}
			for _, tgt := range par.targets {
				run, room := par.central.Running(tgt.ID), max(tgt.Slots, 1)
				requests, slots, busiest = requests+run, slots+room, max(busiest, float64(run)/float64(room))
			}
		}
		if slots > 0 {
			out[name] = TargetLoad{Mean: float64(requests) / float64(slots), Busiest: busiest}
		}
	}
	return out
}

// Contents returns what this VM knows of the contents of requests that have crashed targets, those with the
// most ends first, and most at the most.
func (mac *Machine) Contents(now clock.Instant, most int) []ContentStatus {
	var out []ContentStatus
	for _, rep := range mac.contents.book.Reports(now, most) {
		out = append(out, ContentStatus{Report: rep, State: mac.contents.book.State(rep.Content), Count: mac.contents.book.Count(rep.Content)})
	}
	return out
}

// ContentStatus is what a VM knows of a content that has crashed targets.
type ContentStatus struct {
	quarantine.Report

	State quarantine.State
	// Count is the number of ends that count.
	Count int
}

// TargetStatus is what a VM knows about a target.
type TargetStatus struct {
	ID, Service, Address, FailureDomain string
	// Leaving is set once the target wants no new requests, by its registration or by its responses.
	Leaving bool
	// Doubted is set while the registration goes back behind what is known of the target. The other fields
	// are then those of the registration before, if there is one.
	Doubted bool
	// Limit is the limit that the target announces, as far as this VM knows, and Paused for how long it
	// wants no request from this VM.
	Limit  announcement.Limit
	Paused time.Duration
	// Placer is the VM that places the requests to the target, and Sick the estimated probability
	// that the target is failing, as far as this VM knows.
	Placer string
	Sick   float64
	// Requests is the number of requests that run at the target or wait there: those of the fleet if this VM is
	// the placer, else its own. Slots is for how many the target has room.
	Requests, Slots int
}

// Targets returns the registered targets, sorted by ID.
func (mac *Machine) Targets(now clock.Instant) []TargetStatus {
	var out []TargetStatus
	for _, row := range mac.registry.Rows() {
		ent, inForce := mac.registry.Entry(row.Name)
		if !inForce {
			ent = row.Value
		}
		run := ent.Run(row.Name)
		tgt := TargetStatus{
			ID: row.Name, Service: ent.Service, Address: ent.Address, FailureDomain: ent.FailureDomain, Leaving: ent.Leaving || mac.book.Leaving(run),
			Doubted: mac.registry.Doubted(row.Name), Limit: mac.book.Limit(run), Paused: mac.book.Paused(now, run), Slots: ent.Slots,
		}
		if svc := mac.services[ent.Service]; svc != nil {
			par := svc.partitions[partitionOf(row.Name, len(svc.partitions))]
			tgt.Placer, tgt.Sick, tgt.Requests = par.placer, par.local.Sick(now, row.Name), par.local.Running(row.Name)
			if par.central != nil {
				tgt.Sick = par.central.Sick(now, row.Name)
			}
			if par.central != nil && par.placer == mac.set.Self.ID {
				tgt.Requests = par.central.Running(row.Name)
			}
		}
		out = append(out, tgt)
	}
	return out
}

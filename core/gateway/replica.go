package gateway

import (
	"maps"
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// maxFormerConfigs is the number of former configurations that are kept, so that followers
// which hold one of them can be sent a patch.
const maxFormerConfigs = 4

// replica is this VM's copy of the platform's objects, with the state of the VMs that it follows
// and that follow it.
type replica struct {
	config            *Config
	configConfirmedAt clock.Moment
	// configPartial is set if the configuration came from a VM that may be of an older program, which leaves out fields
	// of services.
	configPartial bool
	// formerConfigs holds the former configurations, the newest last, while the VM has followers.
	// patches caches the patches from them to the configuration in force, by base version.
	formerConfigs []*Config
	patches       map[uint64]*Patch
	// configAnsweredAt is when the platform last answered a read of the configuration by this VM.
	// Reads of the targets and of the fleet do not count.
	configAnsweredAt clock.Moment
	restores         restores
	registry         *registry.Registry
	// targetsConfirmedAt is when the registry was last known to be up to date.
	targetsConfirmedAt clock.Moment
	fleet              *fleet.Fleet
	selector           *feed.Selector
	followers          map[string]*follower
	// lastHeard holds when followers and monitored VMs were last heard from; VMs are monitored
	// while this one reads the platform for its failure domain.
	lastHeard  map[string]clock.Instant
	lastPinged map[string]clock.Instant
	// lastRegistered is when this VM last asked the store to be listed.
	lastRegistered clock.Instant
	// reading is how the platform is read, nil before that is decided.
	reading *SetReading
}

func (mac *Machine) version() uint64 {
	if mac.config == nil {
		return 0
	}
	return mac.config.Version
}

// Revisions returns the revisions that the VM holds.
func (mac *Machine) Revisions() feed.Query {
	return feed.Query{Config: mac.version(), Targets: mac.registry.Revision(), Fleet: mac.fleet.Revision()}
}

// adoptConfig puts a configuration in force if it is newer than the current one, or if it has the same version and is
// complete while the current one may not be. complete is set if it certainly has all its fields.
func (mac *Machine) adoptConfig(now clock.Instant, con *Config, complete bool) bool {
	if con == nil || con.Version < mac.version() {
		return false
	}
	if con.Version == mac.version() && (!mac.configPartial || !complete) {
		return false
	}
	mac.configPartial = !complete
	mac.log("configuration", "version", con.Version, "before", mac.version())
	if mac.config != nil && len(mac.followers) > 0 {
		mac.formerConfigs = append(mac.formerConfigs, mac.config)
		mac.formerConfigs = mac.formerConfigs[max(len(mac.formerConfigs)-maxFormerConfigs, 0):]
	} else {
		mac.formerConfigs = nil // Without followers no patch is needed.
	}
	mac.patches = make(map[uint64]*Patch)
	mac.config = con
	mac.setServices(now)
	return true
}

func (mac *Machine) applyTargets(now clock.Instant, del table.Delta[registry.Entry]) bool {
	before := mac.registry.Revision()
	changed := mac.registry.Apply(now, del)
	if mac.entered(now, "targets", before, mac.registry.Revision()) {
		mac.targetsConfirmedAt = clock.Moment{}
	}
	mac.logDoubts()
	if changed {
		mac.logTargets(del)
		mac.setServices(now)
		mac.checkBrokenOff(now)
	}
	return mac.registry.Revision() != before && !del.Empty()
}

// logDoubts logs which registrations are in doubt, or are believed.
func (mac *Machine) logDoubts() {
	for _, chg := range mac.registry.DrainDoubtChanges() {
		event := "targetDoubted"
		if chg.Believed {
			event = "targetBelieved"
		}
		mac.log(event, "target", chg.Target, "born", chg.Born, "lastBorn", chg.LastBorn)
	}
}

func (mac *Machine) logTargets(del table.Delta[registry.Entry]) {
	for _, row := range del.Rows {
		if !del.Whole || len(del.Rows) <= maxLoggedRows {
			mac.log("target", "target", row.Name, "service", row.Value.Service, "leaving", row.Value.Leaving, "born", row.Value.Run(row.Name).Born,
				"address", row.Value.Address, "revision", revision.Number(row.Revision))
		}
	}
	for _, name := range del.Removed {
		_, kept := mac.registry.Entry(name)
		mac.log("targetRemoved", "target", name, "kept", kept, "revision", revision.Number(del.Revision))
	}
}

func (mac *Machine) applyFleet(now clock.Instant, del table.Delta[fleet.Row]) bool {
	before, held := mac.fleet.View(), mac.fleet.Revision()
	if !mac.fleet.Apply(now, del) {
		return false
	}
	mac.entered(now, "fleet", held, mac.fleet.Revision())
	vie := mac.fleet.View()
	mac.log("fleet", "vms", vie.Size(), "revision", revision.Number(vie.Revision()), "holders", mac.fleet.Holders())
	mac.viewChanged(now, before)
	mac.learnStored(now)
	return true
}

// peerExited handles that a run of another VM has exited.
func (mac *Machine) peerExited(now clock.Instant, evt PeerExited) {
	mac.log("peerGone", "vm", evt.ID, "successor", evt.Successor.ID)
	mac.selector.HandleVMExit(now, evt.ID)
	if before := mac.fleet.View(); mac.fleet.HandleExit(evt.ID, evt.Successor) {
		mac.viewChanged(now, before)
	}
}

// viewChanged passes on that the view of the fleet has changed.
func (mac *Machine) viewChanged(now clock.Instant, before member.View) {
	vie := mac.fleet.View()
	mac.selector.SetView(now, vie)
	mac.setKeeper(now)
	for _, name := range sortedNames(mac.services) {
		mac.services[name].chooser.SetFleet(mac.set.Name, vie.Size())
		for _, par := range mac.services[name].partitions {
			mac.setPlacer(now, par)
		}
	}
	mac.releaseSlotsOfVMs(now, before, vie)
	maps.DeleteFunc(mac.drains.toldAt, func(id string, _ clock.Instant) bool {
		_, listed := vie.VM(id)
		return !listed
	})
	for id := range mac.lastHeard {
		if _, listed := vie.VM(id); !listed {
			delete(mac.lastHeard, id)
			delete(mac.lastPinged, id)
		}
	}
}

// releaseSlotsOfVMs frees the slots of targets that are held by VMs which are no longer listed.
func (mac *Machine) releaseSlotsOfVMs(now clock.Instant, before, after member.View) {
	for _, vmm := range before.VMs() {
		if _, listed := after.VM(vmm.ID); listed {
			continue
		}
		mac.contents.keeper.ForgetVM(vmm.ID)
		for _, svc := range mac.services {
			for _, par := range svc.partitions {
				if par.central != nil {
					par.central.ForgetVM(now, vmm.ID)
				}
			}
		}
	}
}

// platformRead handles what was read from the platform. A read of an earlier era than the copy confirms nothing.
func (mac *Machine) platformRead(now clock.Instant, evt Event) {
	changed := false
	switch evt := evt.(type) {
	case ConfigRead:
		changed = mac.configRead(now, evt)
	case TargetsRead:
		changed = mac.applyTargets(now, evt.Update)
		if at, known := evt.RequestedAt.Instant(); known && revision.Covers(mac.registry.Revision(), evt.Update.Revision) {
			mac.confirmTargets(now, at)
		}
	case DrainsRead:
		changed = mac.applyDrains(now, evt.Update)
	case FleetRead:
		changed = mac.applyFleet(now, evt.Update)
		if at, known := evt.RequestedAt.Instant(); known && revision.Covers(mac.fleet.Revision(), evt.Update.Revision) {
			mac.fleet.Confirm(at)
		}
	}
	if changed {
		mac.updateFollowers(now)
	}
}

func (mac *Machine) confirmTargets(now, at clock.Instant) {
	mac.registry.Confirm(now, at)
	mac.book.Confirm(at)
	mac.targetsConfirmedAt = mac.targetsConfirmedAt.Later(clock.MomentOf(at))
}

// updateReceived handles an update from the VM that is followed.
func (mac *Machine) updateReceived(now clock.Instant, from string, upd Update) {
	mac.noteEra(now, upd.Era)
	// A program that tells the drains also sends all fields of services; a VM that does not keep to drains takes every
	// program for such a one. A patch is complete only if its base is.
	complete := mac.tellsDrains(now, from) && (upd.Config != nil || !mac.configPartial)
	changed := mac.adoptConfig(now, mac.updatedConfig(upd), complete)
	changed = mac.applyTargets(now, upd.Targets) || changed
	changed = mac.applyFleet(now, upd.Fleet) || changed
	contact := upd.Ages.Contact
	trusted := mac.trusts(now, from, upd)
	if !trusted {
		contact = neverAge
	}
	if upd.Number != 0 && (!trusted || !mac.provesStore(upd)) {
		mac.restores.check.KnowsNoMore(from)
	}
	if sent, known := mac.selector.HandleUpdate(now, from, upd.Number, contact); known && trusted {
		mac.confirmUpdate(now, sent, upd)
	}
	if upd.Number == 0 {
		mac.selector.HandleUnasked(now, from)
	}
	if upd.Number != 0 && upd.Version < mac.version() {
		mac.offerConfig(now, []string{from})
	}
	if changed {
		mac.updateFollowers(now)
	}
}

// provesStore reports whether the sender of an update has lived through the last restore that this VM knows of, so that together they
// know the newest configuration. A VM that was not in sync lately may have missed what the store has lost.
func (mac *Machine) provesStore(upd Update) bool {
	return upd.Era >= mac.restores.era && upd.Ages.Config <= mac.set.Policy.RevokeTime
}

// confirmUpdate records what the ages in an update confirm, which answers a query that was sent at the given time. They
// hold for the sender's revisions. They do not confirm an older one, which this VM holds if an earlier update was
// lost, nor one of another era.
func (mac *Machine) confirmUpdate(now, sent clock.Instant, upd Update) {
	if mac.version() >= upd.Version && mac.provesStore(upd) {
		mac.settle(now, bootstrap.Answered)
	}
	if at, known := dated(sent, upd.Ages.Config); known && mac.version() == upd.Version {
		mac.configConfirmedAt = mac.configConfirmedAt.Later(clock.MomentOf(at))
	}
	if at, known := dated(sent, upd.Ages.Targets); known && revision.Covers(mac.registry.Revision(), upd.Targets.Revision) {
		mac.confirmTargets(now, at)
	}
	if at, known := dated(sent, upd.Ages.Fleet); known && revision.Covers(mac.fleet.Revision(), upd.Fleet.Revision) {
		mac.fleet.Confirm(at)
	}
}

// dated returns the instant that an age in an update stands for, which answers a query that was sent at the given time. known is
// false if the sender has no confirmation.
func dated(sent clock.Instant, age time.Duration) (at clock.Instant, known bool) {
	return sent.Add(-age), age < neverAge
}

// updatedConfig returns the configuration that an update contains, whole or as a patch, or nil.
func (mac *Machine) updatedConfig(upd Update) *Config {
	pat := upd.Patch
	if pat == nil || mac.version() != pat.Base || mac.config == nil {
		return upd.Config
	}
	return NewConfig(pat.Version, mac.config.Content.With(pat.Change))
}

// follow decides whether this VM follows another one or reads the platform itself.
func (mac *Machine) follow(now clock.Instant) {
	for _, snd := range mac.selector.Tick(now, mac.query(), mac.configAnsweredAt.AgeOr(now.Since(mac.startedAt), now)) {
		if mac.configPartial && mac.tellsDrains(now, snd.To) {
			snd.Query.Config = 0 // The VM is to send the whole configuration.
		}
		mac.emit(Send{To: snd.To, Message: snd.Query})
	}
	set := SetReading{On: mac.selector.Reading(now), Sparing: !mac.selector.IsPrimary(), Drains: mac.keepsDrains()}
	if !set.On && (mac.config == nil || mac.fleet.Revision() == 0) && mac.selector.Followed() == "" {
		set.On, set.FleetOnly = true, true // To find a VM to follow.
	}
	if mac.reading == nil || *mac.reading != set {
		mac.reading = &set
		mac.log("reading", "on", set.On, "fleetOnly", set.FleetOnly, "sparing", set.Sparing, "follows", mac.selector.Followed())
		mac.emit(set)
	}
}

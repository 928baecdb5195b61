package gateway

import (
	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/revision"
)

// neverRestored reports whether the store has never been restored, by its latest era.
func neverRestored(era revision.Era) bool { return era <= revision.EraTold(0) }

// reliesOnStore reports whether this VM may take what the store shows for the newest. One that has just started may not,
// unless the store has never been restored: it asks other VMs first, which may know what the store has lost.
func (mac *Machine) reliesOnStore() bool {
	return neverRestored(mac.restores.era) || mac.restores.check.Settled()
}

// checkStore asks other VMs whether they know more than the store, until that is settled.
func (mac *Machine) checkStore(now clock.Instant) {
	if mac.reliesOnStore() || mac.config == nil || mac.fleet.Revision() == 0 {
		return
	}
	chk := mac.restores.check
	ids := chk.Tick(now, mac.askable(), mac.set.Policy.RevokeTime)
	if chk.Settled() {
		mac.storeChecked()
		return
	}
	for _, id := range ids {
		snd := mac.selector.Ask(now, id, mac.query())
		mac.emit(Send{To: snd.To, Message: snd.Query})
	}
}

// askable returns the IDs of the listed VMs, without this one and its former runs.
func (mac *Machine) askable() []string {
	var ids []string
	for _, vmm := range mac.fleet.View().VMs() {
		if vmm.ID != mac.set.Self.ID && vmm.Address != mac.set.Self.Address {
			ids = append(ids, vmm.ID)
		}
	}
	return ids
}

// storeChecked records that the store may be relied on from now on.
func (mac *Machine) storeChecked() {
	res := &mac.restores
	mac.log("storeChecked", "outcome", string(res.check.Outcome()), "era", res.era, "version", mac.version(), "stored", res.storedVersion)
	mac.confirmByStore()
}

// confirmByStore records what the last read of the configuration confirms, if the store may be relied on. A VM that has
// once relied on it lives through later restores.
func (mac *Machine) confirmByStore() {
	res := &mac.restores
	if !mac.reliesOnStore() || res.readAt == (clock.Instant{}) || res.storedVersion < mac.version() {
		return
	}
	res.check.Settle(bootstrap.NeverRestored)
	mac.configConfirmedAt = clock.Later(mac.configConfirmedAt, res.readAt)
}

// answerAsNewcomer tells a VM that has just started that so has this one.
func (mac *Machine) answerAsNewcomer(to string, qry feed.Query) {
	if qry.Starting {
		mac.emit(Send{To: to, Message: bootstrap.Newcomer{}})
	}
}

// query returns what this VM holds, for a query to another one.
func (mac *Machine) query() feed.Query {
	held := mac.Revisions()
	held.KnowsDrains, held.Starting = mac.keepsDrains(), !mac.reliesOnStore()
	return held
}

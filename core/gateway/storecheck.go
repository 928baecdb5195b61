package gateway

import (
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/revision"
)

const (
	// proofInterval is the least time between two attempts to record a proof in the store.
	proofInterval = time.Second
	// proofDelay is how long a VM that does not rank first in its failure domain leaves the record to others. It writes it in
	// one of proofTicks ticks then, at random, so that not all write at once.
	proofDelay = time.Second
	proofTicks = 20
)

// neverRestored reports whether the store has never been restored, by its latest era.
func neverRestored(era revision.Era) bool { return era <= revision.EraTold(0) }

// reliesOnStore reports whether this VM may take what the store shows for the newest. One that has just started may not,
// unless the store has never been restored: it needs a proof first that the store has lost nothing; see package bootstrap.
func (mac *Machine) reliesOnStore() bool {
	return neverRestored(mac.restores.era) || mac.restores.check.Settled()
}

// usesConfig reports whether requests may be handled by the configuration in force. One that nothing proves to be the
// newest is used once this VM has looked for a VM that knows a newer one. Keys are not used by it even then, since it is not
// confirmed.
func (mac *Machine) usesConfig() bool {
	return mac.reliesOnStore() || mac.restores.check.Searched()
}

// checkStore looks for a proof that the store holds the newest configuration, and asks other VMs for one.
func (mac *Machine) checkStore(now clock.Instant) {
	if mac.reliesOnStore() || mac.config == nil || mac.fleet.Revision() == 0 {
		return
	}
	switch {
	case mac.set.FirstStart:
		mac.settle(now, bootstrap.FirstStart)
		return
	case mac.proofRecorded():
		mac.settle(now, bootstrap.Recorded)
		return
	}
	chk := mac.restores.check
	pol := mac.set.Policy
	ids := chk.Tick(now, mac.askable(), bootstrap.Limits{Silence: pol.RevokeTime, Rewrite: pol.RewriteTime})
	if chk.Settled() {
		mac.storeChecked(now)
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

// proofRecorded reports whether a VM has recorded in the present era that the store holds the newest configuration, and this
// VM has read the configuration since.
func (mac *Machine) proofRecorded() bool {
	res := &mac.restores
	era, rev := mac.fleet.Proof()
	return era == res.era && revision.EraOf(rev) == res.era && revision.Covers(res.readRevision, rev)
}

// settle records what proves that the store may be relied on, unless that was proven before.
func (mac *Machine) settle(now clock.Instant, out bootstrap.Outcome) {
	if mac.restores.check.Settle(out) {
		mac.storeChecked(now)
	}
}

// storeChecked records that the store may be relied on from now on.
func (mac *Machine) storeChecked(now clock.Instant) {
	res := &mac.restores
	mac.eraProven(now)
	mac.log("storeChecked", "outcome", string(res.check.Outcome()), "era", res.era, "version", mac.version(), "stored", res.storedVersion,
		"after", now.Since(mac.startedAt))
	mac.confirmByStore()
}

// eraProven records that this VM has more than the store's word for what the store holds in the latest era.
func (mac *Machine) eraProven(now clock.Instant) {
	res := &mac.restores
	if res.provenEra != res.era {
		res.provenEra, res.provenAt = res.era, clock.MomentOf(now)
	}
}

// confirmByStore records what the last read of the configuration confirms, if the store may be relied on. A VM that has
// once relied on it lives through later restores.
func (mac *Machine) confirmByStore() {
	res := &mac.restores
	if !mac.reliesOnStore() || !res.readAt.Known() || res.storedVersion < mac.version() {
		return
	}
	res.check.Settle(bootstrap.NeverRestored)
	res.confirmedEra = res.configEra
	mac.configConfirmedAt = mac.configConfirmedAt.Later(res.readAt)
}

// recordProof records in the store that it holds the newest configuration in its present era, for the VMs that start in it:
// within an era the store loses nothing. The record of an earlier era, which a restored store may show, proves nothing.
func (mac *Machine) recordProof(now clock.Instant) {
	res := &mac.restores
	era, rev := mac.fleet.Proof()
	if neverRestored(res.era) || mac.stopping || !mac.reliesOnStore() || res.confirmedEra != res.era || mac.fleet.Era() != res.era || era == res.era {
		return
	}
	if age, _ := res.eraSince.Age(now); res.provenEra != res.era && age >= mac.set.Policy.RewriteTime {
		mac.eraProven(now)
	}
	if res.provenEra != res.era || res.recordedAt.Within(proofInterval, now) {
		return
	}
	if age, _ := res.provenAt.Age(now); !mac.selector.IsPrimary() && (age < proofDelay || mac.rnd.IntN(proofTicks) != 0) {
		return
	}
	res.recordedAt = clock.MomentOf(now)
	mac.log("recordProof", "era", res.era, "version", mac.version())
	mac.emit(Write{Name: fleet.ProofName, Row: fleet.Row{Holder: mac.set.Self.ID, Era: res.era}, Revision: rev})
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
	held.KnowsDrains, held.Starting, held.KnowsDepartures = mac.keepsDrains(), !mac.reliesOnStore(), true
	return held
}

package gateway

import (
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/revision"
)

// offerInterval is the least time between two offers of the configuration.
const offerInterval = 500 * time.Millisecond

// restores is what a VM knows of restores of the platform's store; see package revision.
type restores struct {
	// era is the latest era that this VM knows, and restored is set once it has risen.
	era      revision.Era
	restored bool
	// configEra is the era in which this VM last read the configuration, and storedVersion the version that the store
	// held then, 0 if none.
	configEra     revision.Era
	storedVersion uint64
	// readAt is when the last read was sent that showed that version to be the newest one of the latest era.
	// readRevision is the store's revision up to which it was read.
	readAt       clock.Moment
	readRevision uint64
	// firstVersion is the version that the store held when this VM first read it in firstEra, in a read that was not stale.
	firstEra     revision.Era
	firstVersion uint64
	// check decides whether the store may be relied on; see reliesOnStore.
	check *bootstrap.Check
	// eraSince is when this VM learned of the latest era. provenEra is the latest era in which this VM has more than the
	// store's word for what the store holds, since provenAt, and confirmedEra the one in which the store last confirmed the
	// configuration.
	eraSince, provenAt      clock.Moment
	provenEra, confirmedEra revision.Era
	// recordedAt is when this VM last recorded a proof in the store.
	recordedAt clock.Moment
	// offeredAt is when this VM last offered its configuration to other VMs.
	offeredAt clock.Moment
}

// noteEra records an era that the store or another VM has told. A VM that was in sync until then knows what was in force.
// One that has no proof of the era before begins its check anew.
func (mac *Machine) noteEra(now clock.Instant, era revision.Era) {
	res := &mac.restores
	if era <= res.era {
		return
	}
	if res.era != 0 {
		res.restored = true
		mac.log("eraKnown", "era", era, "before", res.era)
	}
	mac.noteEraOfDepartures(now)
	res.era, res.eraSince = era, clock.MomentOf(now)
	switch {
	case !res.check.Settled():
		res.check = bootstrap.New(mac.rnd)
	case mac.configConfirmedAt.Within(mac.set.Policy.RevokeTime, now):
		mac.eraProven(now)
	}
}

// entered records the era of a copy that was changed, and reports whether the copy is of a later one than before.
func (mac *Machine) entered(now clock.Instant, kind string, before, after uint64) bool {
	era := revision.EraOf(after)
	mac.noteEra(now, era)
	if before == 0 || era == revision.EraOf(before) {
		return false
	}
	mac.log("eraChanged", "kind", kind, "era", era, "before", revision.EraOf(before), "revision", revision.Number(after), "revisionBefore", revision.Number(before))
	return true
}

// configRead handles a read of the configuration, and reports whether another one is in force. The version in
// force is the greatest one that was ever known: after a restore the store may hold an earlier one until the operator has
// written the later one again. The earlier one does not confirm the later one.
func (mac *Machine) configRead(now clock.Instant, evt ConfigRead) bool {
	res := &mac.restores
	era := revision.EraOf(evt.Revision)
	mac.noteEra(now, era)
	changed := mac.adoptConfig(now, evt.Update, true)
	mac.configAnsweredAt = clock.MomentOf(now)
	if era < res.configEra {
		return changed
	}
	if era > res.configEra && res.configEra != 0 {
		mac.log("eraChanged", "kind", "config", "era", era, "before", res.configEra, "version", mac.version(), "storedBefore", res.storedVersion)
	}
	res.configEra = era
	switch {
	case evt.Update != nil:
		res.storedVersion = evt.Update.Version
	case evt.Absent:
		res.storedVersion = 0
	}
	if mac.rewritten(era, evt.RequestedAt) {
		mac.eraProven(now)
		mac.settle(now, bootstrap.Rewritten)
	}
	if res.storedVersion < mac.version() {
		mac.offerConfig(now, mac.otherPrimaries())
		return changed
	}
	if era == res.era {
		res.readAt, res.readRevision = res.readAt.Later(evt.RequestedAt), max(res.readRevision, evt.Revision)
		mac.confirmByStore()
	}
	return changed
}

// rewritten reports whether the operator has written a configuration since the store was restored: the store holds a later
// version than when this VM first read it in the latest era. Operators write the whole configuration, so that it contains
// all that the store has lost. requestedAt is that of the present read.
func (mac *Machine) rewritten(era revision.Era, requestedAt clock.Moment) bool {
	res := &mac.restores
	if era != res.era || !requestedAt.Known() {
		return false
	}
	if res.firstEra != era {
		res.firstEra, res.firstVersion = era, res.storedVersion
		return false
	}
	return res.storedVersion > res.firstVersion
}

// offerConfig sends the configuration to VMs that may not know it, though the store does not hold it any more.
func (mac *Machine) offerConfig(now clock.Instant, ids []string) {
	res := &mac.restores
	if age, offered := res.offeredAt.Age(now); !res.restored || offered && age < offerInterval {
		return
	}
	res.offeredAt = clock.MomentOf(now)
	for _, id := range ids {
		mac.emit(Send{To: id, Message: Update{Version: mac.version(), Config: mac.config}})
	}
}

// otherPrimaries returns the IDs of the VMs that read the platform for the other failure domains.
func (mac *Machine) otherPrimaries() []string {
	vie := mac.fleet.View()
	var ids []string
	for _, domain := range vie.Domains() {
		for _, vmm := range member.Ranked(vie.Domain(domain), feedKey(domain), 1) {
			if vmm.ID != mac.set.Self.ID {
				ids = append(ids, vmm.ID)
			}
		}
	}
	return ids
}

// inEraOf returns the revisions in a query. A program that knows no eras sends the store's numbers, which are taken
// for those of the era of this VM's copies.
func (mac *Machine) inEraOf(qry feed.Query) feed.Query {
	if qry.KnowsEras {
		return qry
	}
	qry.Targets = revision.Join(revision.EraOf(mac.registry.Revision()), qry.Targets)
	qry.Fleet = revision.Join(mac.fleet.Era(), qry.Fleet)
	return qry
}

// trusts reports whether an update may confirm what this VM holds, and whether its sender may be followed. A program
// that knows no eras goes on from revisions that a restored store has given out again; from one that does not tell the
// drains this VM would not learn of them.
func (mac *Machine) trusts(now clock.Instant, from string, upd Update) bool {
	return (upd.Era != 0 || mac.restores.era == 0) && mac.tellsDrains(now, from)
}

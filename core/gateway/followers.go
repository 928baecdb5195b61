package gateway

import (
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/feed"
)

const (
	// followerTimeout is how long after its last query a follower is sent changes.
	followerTimeout = 2 * time.Second
	// resendDelay is how long a change that was sent is assumed to be in transit.
	resendDelay = 800 * time.Millisecond
)

// follower is a VM that is sent updates by this one.
type follower struct {
	lastQueried clock.Instant
	// knowsEras is as in feed.Query.
	knowsEras bool
	// knowsDrains is as in feed.Query.
	knowsDrains            bool
	config, targets, fleet progress
}

// progress tracks which revision of one kind of object a follower holds.
type progress struct {
	// held is the revision that the follower holds if no message to it was lost.
	held uint64
	// pending is the revision that the follower holds once it has received what was sent at
	// pendingSince, 0 if nothing is in transit. Later changes do not replace it: otherwise a loss
	// would not be noticed while changes go on.
	pending      uint64
	pendingSince clock.Instant
}

// markSent records that a change was sent.
func (prg *progress) markSent(now clock.Instant, rev uint64) {
	if prg.pending == 0 {
		prg.pending, prg.pendingSince = rev, now
	}
}

// acknowledge records the revision that the follower reports, unless a later one may still be in
// transit to it.
func (prg *progress) acknowledge(now clock.Instant, rev uint64) {
	switch {
	case prg.pending == 0 || now.Since(prg.pendingSince) > resendDelay && rev < prg.pending:
		prg.held, prg.pending = rev, 0
	case rev >= prg.pending:
		prg.pending = 0
		if rev < prg.held {
			prg.markSent(now, prg.held)
		}
	}
}

// patchFrom returns the patch from a former configuration to the one in force. It returns nil if the
// former one is not kept, or if the patch has more than half as many added or changed objects as the
// configuration in force has objects; removed objects are not counted.
func (mac *Machine) patchFrom(base uint64) *Patch {
	if pat, known := mac.patches[base]; known {
		return pat
	}
	at := slices.IndexFunc(mac.formerConfigs, func(con *Config) bool { return con.Version == base })
	if at < 0 {
		return nil
	}
	change := config.Diff(mac.formerConfigs[at].Content, mac.config.Content)
	pat := &Patch{Base: base, Version: mac.version(), Change: change}
	if 2*change.Changed.Len() > mac.config.Content.Len() {
		pat = nil
	}
	mac.patches[base] = pat
	return pat
}

func (mac *Machine) ages(now clock.Instant) Ages {
	return Ages{
		Config: mac.configConfirmedAt.AgeOr(neverAge, now), Targets: mac.targetsConfirmedAt.AgeOr(neverAge, now), Fleet: mac.fleet.ConfirmedAt().AgeOr(neverAge, now),
		Contact: mac.configAnsweredAt.AgeOr(neverAge, now),
	}
}

// followerQueried answers a VM that queries what has changed.
func (mac *Machine) followerQueried(now clock.Instant, from string, qry feed.Query) {
	qry = mac.inEraOf(qry)
	mac.lastHeard[from] = now
	fol := mac.followers[from]
	if fol == nil {
		fol = new(follower)
		mac.followers[from] = fol
	}
	fol.lastQueried, fol.knowsEras, fol.knowsDrains = now, qry.KnowsEras, qry.KnowsDrains
	fol.config.acknowledge(now, qry.Config)
	fol.targets.acknowledge(now, qry.Targets)
	fol.fleet.acknowledge(now, qry.Fleet)
	if !mac.reliesOnStore() {
		mac.answerAsNewcomer(from, qry)
		return
	}
	if mac.config == nil || !mac.drainsKnown() {
		return // There is nothing to send, or not enough to be followed; the VM queries another one.
	}
	mac.tellDepartures(now, from, qry)
	mac.sendUpdate(now, from, fol, qry.Number)
	if qry.Starting {
		delete(mac.followers, from) // It asks several VMs, and queries again the one that it follows.
	}
}

func (mac *Machine) sendUpdate(now clock.Instant, to string, fol *follower, number uint64) {
	mac.tellDrains(now, to, fol)
	upd := Update{
		Number: number, Ages: mac.ages(now), Version: mac.version(),
		Targets: mac.registry.Since(fol.targets.held), Fleet: mac.fleet.Since(fol.fleet.held),
	}
	if fol.knowsEras {
		upd.Era = mac.restores.era
	}
	if mac.version() > fol.config.held {
		upd.Patch = mac.patchFrom(fol.config.held)
		if upd.Patch == nil {
			upd.Config = mac.config
		}
	}
	held := mac.Revisions()
	if upd.Config != nil || upd.Patch != nil {
		fol.config.markSent(now, held.Config)
	}
	if !upd.Targets.Empty() {
		fol.targets.markSent(now, held.Targets)
	}
	if !upd.Fleet.Empty() {
		fol.fleet.markSent(now, held.Fleet)
	}
	fol.config.held, fol.targets.held, fol.fleet.held = held.Config, held.Targets, held.Fleet
	mac.emit(Send{To: to, Message: upd})
}

// updateFollowers sends a change to all followers.
func (mac *Machine) updateFollowers(now clock.Instant) {
	if mac.config == nil || !mac.drainsKnown() || !mac.reliesOnStore() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(mac.followers)) {
		fol := mac.followers[id]
		if now.Since(fol.lastQueried) > followerTimeout {
			delete(mac.followers, id)
			continue
		}
		mac.sendUpdate(now, id, fol, 0)
	}
}

package gateway

import (
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

const (
	// followerTime is how long a VM that has asked is told what changes.
	followerTime = 2 * time.Second
	// resendTime is how long a change that was sent is taken to be under way.
	resendTime = 800 * time.Millisecond
	// keptConfigs is the number of former configurations from which a follower
	// can be told what has changed.
	keptConfigs = 4
	// registerInterval is the least time between two attempts to be listed.
	registerInterval = time.Second
	// vmSilentTime is how long a listed VM may be silent before it is asked,
	// and vmLostTime how long until it is taken off the list.
	vmSilentTime = 2 * time.Second
	vmLostTime   = 3500 * time.Millisecond
	pingInterval = 400 * time.Millisecond
)

// follower is a VM that learns from this one.
type follower struct {
	asked                  clock.Instant
	config, targets, fleet delivery
}

// delivery is what a follower is thought to hold of one kind of objects.
type delivery struct {
	// held is the revision that it holds if nothing sent to it was lost.
	held uint64
	// awaited is the revision that it is to hold for what was sent at since, 0
	// where nothing is under way. Later changes do not put that off, else a loss
	// would not be noticed while changes go on.
	awaited uint64
	since   clock.Instant
}

// sent notes that a change was sent.
func (del *delivery) sent(now clock.Instant, revision uint64) {
	if del.awaited == 0 {
		del.awaited, del.since = revision, now
	}
}

// said takes the revision that the follower says it holds, but for what may still
// be under way to it.
func (del *delivery) said(now clock.Instant, revision uint64) {
	switch {
	case del.awaited == 0 || now.Since(del.since) > resendTime && revision < del.awaited:
		del.held, del.awaited = revision, 0
	case revision >= del.awaited:
		del.awaited = 0
		if revision < del.held {
			del.sent(now, del.held)
		}
	}
}

// knowledge is what a VM knows of the platform's objects, and from whom.
type knowledge struct {
	config       *Config
	configProven clock.Instant
	// before has the last configurations, the newest last, on a VM that others
	// follow, and patches what takes them to the one in force, as far as a
	// follower needed it.
	before  []*Config
	patches map[uint64]*Patch
	// contact is when the platform last answered a read of this VM.
	contact  clock.Instant
	registry *registry.Registry
	// targetsProven is when the registry was last known to be the newest.
	targetsProven clock.Instant
	fleet         *fleet.Fleet
	follower      *feed.Follower
	followers     map[string]*follower
	// heard has when VMs of the failure domain were last heard, while this VM
	// reads for them.
	heard      map[string]clock.Instant
	pinged     map[string]clock.Instant
	registered clock.Instant
	// reading is how the platform is read; nil before that is decided.
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

func later(one, two clock.Instant) clock.Instant {
	if one == (clock.Instant{}) || one.Before(two) {
		return two
	}
	return one
}

// adoptConfig takes a configuration if it is newer than the one in force.
func (mac *Machine) adoptConfig(now clock.Instant, con *Config) bool {
	if con == nil || con.Version <= mac.version() {
		return false
	}
	mac.note("configuration", "version", con.Version, "before", mac.version())
	if mac.config != nil && len(mac.followers) > 0 {
		mac.before = append(mac.before, mac.config)
		mac.before = mac.before[max(len(mac.before)-keptConfigs, 0):]
	} else {
		mac.before = nil // Nobody is told what changes.
	}
	mac.patches = make(map[uint64]*Patch)
	mac.config = con
	mac.setServices(now)
	return true
}

func (mac *Machine) applyTargets(now clock.Instant, del table.Delta[registry.Entry]) bool {
	before := mac.registry.Revision()
	changed := mac.registry.Apply(now, del)
	if changed {
		mac.noteTargets(del)
		mac.setServices(now)
	}
	return mac.registry.Revision() != before && !del.Empty()
}

func (mac *Machine) noteTargets(del table.Delta[registry.Entry]) {
	for _, row := range del.Rows {
		if !del.Whole || len(del.Rows) <= maxNotedRows {
			mac.note("target", "target", row.Name, "service", row.Value.Service, "leaving", row.Value.Leaving, "revision", row.Revision)
		}
	}
	for _, name := range del.Removed {
		mac.note("targetRemoved", "target", name, "revision", del.Revision)
	}
}

func (mac *Machine) applyFleet(now clock.Instant, del table.Delta[fleet.Row]) bool {
	before := mac.fleet.View()
	if !mac.fleet.Apply(now, del) {
		return false
	}
	vie := mac.fleet.View()
	mac.note("fleet", "vms", vie.Size(), "revision", vie.Revision(), "holders", mac.fleet.Holders())
	mac.follower.SetView(vie)
	for _, name := range sortedNames(mac.services) {
		for _, par := range mac.services[name].parts {
			mac.setOwner(now, par)
		}
	}
	mac.forgetVMs(before, vie)
	for id := range mac.heard {
		if _, listed := vie.VM(id); !listed {
			delete(mac.heard, id)
			delete(mac.pinged, id)
		}
	}
	return true
}

// forgetVMs frees what VMs that are no longer listed held at targets.
func (mac *Machine) forgetVMs(before, after member.View) {
	for _, vmm := range before.VMs() {
		if _, listed := after.VM(vmm.ID); listed {
			continue
		}
		for _, svc := range mac.services {
			for _, par := range svc.parts {
				if par.central != nil {
					par.central.ForgetVM(vmm.ID)
				}
			}
		}
	}
}

// learned takes what was read at the platform.
func (mac *Machine) learned(now clock.Instant, evt Event) {
	changed := false
	switch evt := evt.(type) {
	case ConfigRead:
		changed = mac.adoptConfig(now, evt.Update)
		mac.configProven = later(mac.configProven, evt.RequestedAt)
		mac.contact = now
	case TargetsRead:
		changed = mac.applyTargets(now, evt.Update)
		mac.proveTargets(now, evt.RequestedAt)
	case FleetRead:
		changed = mac.applyFleet(now, evt.Update)
		mac.fleet.Confirm(evt.RequestedAt)
	}
	if changed {
		mac.tellFollowers(now)
	}
}

func (mac *Machine) proveTargets(now, at clock.Instant) {
	mac.registry.Confirm(now, at)
	mac.targetsProven = later(mac.targetsProven, at)
}

// told takes news from the VM that is followed.
func (mac *Machine) told(now clock.Instant, from string, news Update) {
	changed := mac.adoptConfig(now, mac.patched(news))
	changed = mac.applyTargets(now, news.Targets) || changed
	changed = mac.applyFleet(now, news.Fleet) || changed
	if sent, known := mac.follower.HandleUpdate(now, from, news.Number, news.Ages.Contact); known {
		// What an earlier message brought that was lost is not proven.
		if mac.version() >= news.Version {
			mac.configProven = later(mac.configProven, sent.Add(-news.Ages.Config))
		}
		if mac.registry.Revision() >= news.Targets.Revision {
			mac.proveTargets(now, sent.Add(-news.Ages.Targets))
		}
		if mac.fleet.Revision() >= news.Fleet.Revision {
			mac.fleet.Confirm(sent.Add(-news.Ages.Fleet))
		}
	}
	if changed {
		mac.tellFollowers(now)
	}
}

// patched returns the configuration that news bring, or nil.
func (mac *Machine) patched(news Update) *Config {
	pat := news.Patch
	if pat == nil || mac.version() != pat.Base || mac.config == nil {
		return news.Config
	}
	return NewConfig(pat.Version, mac.config.Content.With(pat.Change))
}

// patch returns what takes a former configuration to the one in force, or nil
// where that is not known or hardly smaller.
func (mac *Machine) patch(base uint64) *Patch {
	if pat, known := mac.patches[base]; known {
		return pat
	}
	at := slices.IndexFunc(mac.before, func(con *Config) bool { return con.Version == base })
	if at < 0 {
		return nil
	}
	change := config.Diff(mac.before[at].Content, mac.config.Content)
	pat := &Patch{Base: base, Version: mac.version(), Change: change}
	if 2*change.Changed.Len() > mac.config.Content.Len() {
		pat = nil
	}
	mac.patches[base] = pat
	return pat
}

func (mac *Machine) ages(now clock.Instant) Ages {
	return Ages{Config: now.Since(mac.configProven), Targets: now.Since(mac.targetsProven), Fleet: now.Since(mac.fleet.ConfirmedAt()), Contact: now.Since(mac.contact)}
}

// followed answers a VM that asks what is new.
func (mac *Machine) followed(now clock.Instant, from string, ask feed.Query) {
	mac.heard[from] = now
	fol := mac.followers[from]
	if fol == nil {
		fol = new(follower)
		mac.followers[from] = fol
	}
	fol.asked = now
	fol.config.said(now, ask.Config)
	fol.targets.said(now, ask.Targets)
	fol.fleet.said(now, ask.Fleet)
	if mac.config == nil {
		return // There is nothing to tell; the VM asks elsewhere.
	}
	mac.tell(now, from, fol, ask.Number)
}

func (mac *Machine) tell(now clock.Instant, to string, fol *follower, number uint64) {
	news := Update{
		Number: number, Ages: mac.ages(now), Version: mac.version(),
		Targets: mac.registry.Since(fol.targets.held), Fleet: mac.fleet.Since(fol.fleet.held),
	}
	if mac.version() > fol.config.held {
		news.Patch = mac.patch(fol.config.held)
		if news.Patch == nil {
			news.Config = mac.config
		}
	}
	held := mac.Revisions()
	if news.Config != nil || news.Patch != nil {
		fol.config.sent(now, held.Config)
	}
	if !news.Targets.Empty() {
		fol.targets.sent(now, held.Targets)
	}
	if !news.Fleet.Empty() {
		fol.fleet.sent(now, held.Fleet)
	}
	fol.config.held, fol.targets.held, fol.fleet.held = held.Config, held.Targets, held.Fleet
	mac.do(Send{To: to, Message: news})
}

// tellFollowers passes a change on.
func (mac *Machine) tellFollowers(now clock.Instant) {
	if mac.config == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(mac.followers)) {
		fol := mac.followers[id]
		if now.Since(fol.asked) > followerTime {
			delete(mac.followers, id)
			continue
		}
		mac.tell(now, id, fol, 0)
	}
}

// follow decides from whom this VM learns.
func (mac *Machine) follow(now clock.Instant) {
	for _, snd := range mac.follower.Tick(now, mac.Revisions(), now.Since(mac.contact)) {
		mac.do(Send{To: snd.To, Message: snd.Query})
	}
	set := SetReading{On: mac.follower.Reading(now) || mac.config == nil, Sparing: !mac.follower.IsPrimary()}
	if mac.reading == nil || *mac.reading != set {
		mac.reading = &set
		mac.note("reading", "on", set.On, "sparing", set.Sparing, "follows", mac.follower.Followed())
		mac.do(set)
	}
}

// enlist has this VM listed while it does not stop, and takes silent VMs of its
// failure domain off.
func (mac *Machine) enlist(now clock.Instant) {
	if mac.fleet.Revision() == 0 {
		return
	}
	if mac.stopping {
		mac.giveUp(now)
		return
	}
	listed, revision := mac.fleet.Listed()
	if !listed && (mac.registered == (clock.Instant{}) || now.Since(mac.registered) >= registerInterval) {
		mac.registered = now
		mac.note("enlist", "replaces", mac.fleet.Predecessor())
		mac.do(Write{Name: fleet.VMName(mac.set.Name), Row: fleet.Row{VM: mac.set.Self, Name: mac.set.Name}, Revision: revision})
	}
	for num := range fleet.TokenServers {
		if !mac.fleet.ShouldClaim(now, num) {
			continue
		}
		name := fleet.TokenServerName(num)
		mac.note("claim", "part", num, "before", mac.fleet.Holder(num))
		mac.do(Write{Name: name, Row: fleet.Row{Holder: mac.set.Self.ID, Busy: quota.Busy{All: true}}, Revision: mac.fleet.ObjectRevision(name)})
	}
	if mac.follower.IsPrimary() {
		mac.sweep(now)
	}
}

// sweep asks the VMs of the failure domain that are silent, and takes those off
// the list that do not answer.
func (mac *Machine) sweep(now clock.Instant) {
	for _, vmm := range mac.sweepable() {
		if vmm.ID == mac.set.Self.ID {
			continue
		}
		heard, found := mac.heard[vmm.ID]
		if !found {
			mac.heard[vmm.ID] = now
			continue
		}
		silent := now.Since(heard)
		if silent >= vmLostTime && now.Since(mac.fleet.ConfirmedAt()) < vmSilentTime {
			if row, listed := mac.fleet.Row(vmm.ID); listed {
				mac.note("vmLost", "vm", vmm.ID, "silent", silent)
				mac.do(Delete{Name: row.Name, Revision: row.Revision})
				mac.heard[vmm.ID] = now
			}
			continue
		}
		if silent >= vmSilentTime && now.Since(mac.pinged[vmm.ID]) >= pingInterval {
			mac.pinged[vmm.ID] = now
			mac.do(Send{To: vmm.ID, Message: Ping{}})
		}
	}
}

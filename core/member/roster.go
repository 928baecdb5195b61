package member

import (
	"slices"
	"strings"
	"time"

	"marigoldlug.example/core/clock"
)

// The times of changes of the view.
const (
	joinInterval = time.Second
	// gatherTime is how long a keeper gathers changes, so that a mass restart
	// takes few views.
	gatherTime = 300 * time.Millisecond
	pingTime   = time.Second
	// successionTime is how much longer each further keeper waits.
	successionTime = 3 * time.Second
	// unlistedTime and listedTime are how long a silent VM stays in the view,
	// without and with an entry in the platform's list.
	unlistedTime = 2 * time.Second
	listedTime   = 10 * time.Second
	changeTime   = 5 * time.Second
	// recoverTime is how long a VM hears no member before it looks whether any
	// is left.
	recoverTime = 5 * time.Second
)

// Message is what rosters send to one another.
type Message interface{ memberMessage() }

// Join asks for the sender to be listed in the view.
type Join struct {
	VM VM
}

// Leave asks for the sender to be dropped from the view.
type Leave struct {
	ID string
}

// Ping asks whether a VM is alive.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}

func (Join) memberMessage()  {}
func (Leave) memberMessage() {}
func (Ping) memberMessage()  {}
func (Pong) memberMessage()  {}

// Output is something that a roster wants done.
type Output interface{ memberOutput() }

// Send sends a message to a VM.
type Send struct {
	To      string
	Message Message
}

// Change commits a view that follows the view of an epoch.
type Change struct {
	Epoch   uint64
	Added   []VM
	Removed []string
}

func (Send) memberOutput()   {}
func (Change) memberOutput() {}

// Knowledge is what the roster is told of the fleet.
type Knowledge struct {
	View View
	// Settled is set when the head that holds the view is accepted.
	Settled bool
	// Watchers are the VMs that may act as keepers.
	Watchers []VM
	// Silent lists members that their watchers no longer hear.
	Silent []string
	// SilentDomains lists failure domains of which no watcher answers.
	SilentDomains []string
	// Listed has the addresses in the platform's list of VMs; nil when the
	// list is not known.
	Listed map[string]bool
	// Gone tells whether a VM is known to have ended.
	Gone func(id string) bool
}

// Roster decides on changes of the view. One watcher, the keeper, gathers the
// VMs that come and go and commits a view; the next one takes over where it
// does not. It is not safe for concurrent use.
type Roster struct {
	self VM
	// joins and leaves wait for a change of the view.
	joins   map[string]waitingJoin
	leaves  map[string]clock.Instant
	suspect map[string]suspicion
	asked   clock.Instant
	started bool
	// changing is set while a change is being committed.
	changing   bool
	changeFrom clock.Instant
	leaving    bool
	// heard is when a member last sent anything.
	heard   clock.Instant
	outputs []Output
}

type waitingJoin struct {
	vmm   VM
	since clock.Instant
}

type suspicion struct {
	since clock.Instant
	// pinged is when the keeper last asked the VM itself.
	pinged clock.Instant
}

// NewRoster returns the roster of a VM.
func NewRoster(self VM) *Roster {
	return &Roster{
		self:  self,
		joins: make(map[string]waitingJoin), leaves: make(map[string]clock.Instant), suspect: make(map[string]suspicion),
	}
}

// Take returns and forgets the outputs gathered so far.
func (ros *Roster) Take() []Output {
	out := ros.outputs
	ros.outputs = nil
	return out
}

func (ros *Roster) send(to string, msg Message) {
	ros.outputs = append(ros.outputs, Send{To: to, Message: msg})
}

// Leave makes the VM ask to be dropped from the view.
func (ros *Roster) Leave() { ros.leaving = true }

// Committed notes that a change has been committed or has failed.
func (ros *Roster) Committed() { ros.changing = false }

// Heard notes that a member is alive.
func (ros *Roster) Heard(now clock.Instant) { ros.heard = now }

// Receive takes a message from another VM.
func (ros *Roster) Receive(now clock.Instant, from string, msg Message) {
	switch msg := msg.(type) {
	case Join:
		if _, found := ros.joins[msg.VM.ID]; !found {
			ros.joins[msg.VM.ID] = waitingJoin{vmm: msg.VM, since: now}
		}
	case Leave:
		if _, found := ros.leaves[msg.ID]; !found {
			ros.leaves[msg.ID] = now
		}
	case Ping:
		ros.send(from, Pong{})
	case Pong:
		delete(ros.suspect, from)
	}
}

// Tick asks for the VM's own place in the view and, on a keeper, commits the
// changes that wait.
func (ros *Roster) Tick(now clock.Instant, kno Knowledge) {
	ros.seekOwn(now, kno)
	ros.forget(kno)
	rank := slices.IndexFunc(Ranked(kno.Watchers, "keeper", len(kno.Watchers)), func(vmm VM) bool { return vmm.ID == ros.self.ID })
	if rank < 0 {
		ros.recover(now, kno)
		return
	}
	ros.suspectSilent(now, kno)
	if ros.changing && now.Since(ros.changeFrom) < changeTime || !kno.Settled {
		return
	}
	patience := gatherTime + time.Duration(rank)*successionTime
	chg := ros.due(now, kno, patience)
	if len(chg.Added) == 0 && len(chg.Removed) == 0 {
		return
	}
	ros.commit(now, chg)
}

func (ros *Roster) commit(now clock.Instant, chg Change) {
	ros.changing = true
	ros.changeFrom = now
	ros.outputs = append(ros.outputs, chg)
}

// recover starts a new view where every member of the old one has ended, so
// that no keeper is left to list anyone.
func (ros *Roster) recover(now clock.Instant, kno Knowledge) {
	if _, listed := kno.View.VM(ros.self.ID); listed || ros.leaving || kno.View.Epoch() == 0 {
		return
	}
	if ros.changing && now.Since(ros.changeFrom) < changeTime || kno.View.Size() > 0 && now.Since(ros.heard) < recoverTime {
		return
	}
	chg := Change{Epoch: kno.View.Epoch(), Added: []VM{ros.self}}
	for _, vmm := range kno.View.VMs() {
		if !kno.Gone(vmm.ID) {
			ros.send(vmm.ID, Ping{})
			continue
		}
		chg.Removed = append(chg.Removed, vmm.ID)
	}
	if len(chg.Removed) == kno.View.Size() {
		ros.commit(now, chg)
		return
	}
	ros.heard = now.Add(pingTime - recoverTime) // Asks again after pingTime.
}

// seekOwn asks the keepers for the VM to be listed, or to be dropped.
func (ros *Roster) seekOwn(now clock.Instant, kno Knowledge) {
	if ros.started && now.Since(ros.asked) < joinInterval {
		return
	}
	ros.started = true
	ros.asked = now
	_, listed := kno.View.VM(ros.self.ID)
	var msg Message
	switch {
	case ros.leaving && listed:
		msg = Leave{ID: ros.self.ID}
	case !ros.leaving && !listed && kno.View.Size() > 0:
		msg = Join{VM: ros.self}
	default:
		return
	}
	for _, wat := range kno.Watchers {
		if wat.ID == ros.self.ID {
			ros.Receive(now, wat.ID, msg)
			continue
		}
		ros.send(wat.ID, msg)
	}
}

// forget drops what the view has already made true.
func (ros *Roster) forget(kno Knowledge) {
	for id := range ros.joins {
		if _, listed := kno.View.VM(id); listed {
			delete(ros.joins, id)
		}
	}
	for id := range ros.leaves {
		if _, listed := kno.View.VM(id); !listed {
			delete(ros.leaves, id)
		}
	}
	for id := range ros.suspect {
		if _, listed := kno.View.VM(id); !listed {
			delete(ros.suspect, id)
		}
	}
}

// suspectSilent asks silent members directly before they are dropped, since
// their watchers may be the ones that are cut off.
func (ros *Roster) suspectSilent(now clock.Instant, kno Knowledge) {
	silent := slices.Clone(kno.Silent)
	for _, dom := range kno.SilentDomains {
		for _, vmm := range kno.View.Domain(dom) {
			// A domain that is cut off as a whole keeps what it holds, unless the
			// platform no longer lists its VMs.
			if kno.Listed != nil && !kno.Listed[vmm.Address] {
				silent = append(silent, vmm.ID)
			}
		}
	}
	for id := range ros.suspect {
		if !slices.Contains(silent, id) {
			delete(ros.suspect, id)
		}
	}
	for _, id := range silent {
		sus, found := ros.suspect[id]
		if !found {
			sus.since = now
		}
		if !found || now.Since(sus.pinged) >= pingTime {
			sus.pinged = now
			ros.send(id, Ping{})
		}
		ros.suspect[id] = sus
	}
}

// due returns the changes that have waited for at least patience.
func (ros *Roster) due(now clock.Instant, kno Knowledge, patience time.Duration) Change {
	chg := Change{Epoch: kno.View.Epoch()}
	for id, joi := range ros.joins {
		_, left := ros.leaves[id]
		if !left && now.Since(joi.since) >= patience {
			chg.Added = append(chg.Added, joi.vmm)
		}
	}
	for id, since := range ros.leaves {
		if now.Since(since) >= patience {
			chg.Removed = append(chg.Removed, id)
		}
	}
	for id, sus := range ros.suspect {
		vmm, _ := kno.View.VM(id)
		limit := unlistedTime
		if kno.Listed == nil || kno.Listed[vmm.Address] {
			limit = listedTime
		}
		if kno.Gone(id) {
			limit = 0
		}
		if now.Since(sus.since) >= limit+patience {
			chg.Removed = append(chg.Removed, id)
		}
	}
	slices.SortFunc(chg.Added, func(one, two VM) int { return strings.Compare(one.ID, two.ID) })
	slices.Sort(chg.Removed)
	chg.Removed = slices.Compact(chg.Removed)
	chg.Removed = ros.keepMajority(chg.Removed, kno)
	return chg
}

// keepMajority limits the VMs that go at once to fewer than half, not counting
// those that have ended or leave of themselves: a majority of the view must
// remain to vouch that no one acts on the view before.
func (ros *Roster) keepMajority(removed []string, kno Knowledge) []string {
	most := (kno.View.Size() - 1) / 2
	return slices.DeleteFunc(removed, func(id string) bool {
		if _, leaves := ros.leaves[id]; leaves || kno.Gone(id) {
			return false
		}
		most--
		return most < 0
	})
}

package gateway

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/table"
)

// drainsReportAge is how long ago a VM may have last told the drains so that its updates still prove what the store
// holds. It allows for two lost reports of a VM that is queried every 300 ms.
const drainsReportAge = time.Second

// DrainsRead delivers the changes to the drained failure domains.
type DrainsRead struct {
	Update table.Delta[drain.Entry]
}

func (DrainsRead) event() {}

// drains is what a VM knows of drained failure domains.
type drains struct {
	book *drain.Book
	// toldAt holds when other VMs last told this one the drains.
	toldAt map[string]clock.Instant
}

func newDrains() drains {
	return drains{book: drain.NewBook(), toldAt: make(map[string]clock.Instant)}
}

// keepsDrains reports whether this VM keeps to the drains of failure domains.
func (mac *Machine) keepsDrains() bool { return mac.set.Policy.DrainTime > 0 }

// drainsKnown reports whether this VM knows which failure domains are drained, if it keeps to that.
func (mac *Machine) drainsKnown() bool { return !mac.keepsDrains() || mac.drains.book.Known() }

// DrainsRevision returns the revision up to which this VM knows the drains.
func (mac *Machine) DrainsRevision() uint64 { return mac.drains.book.Revision() }

// applyDrains records what was read from the store, and reports whether followers must be told.
func (mac *Machine) applyDrains(now clock.Instant, del table.Delta[drain.Entry]) bool {
	return mac.updateDrains(now, func(bok *drain.Book) { bok.Apply(now, del) })
}

// drainsTold handles the drains that another VM tells.
func (mac *Machine) drainsTold(now clock.Instant, from string, rep drain.Report) {
	if !mac.keepsDrains() {
		return
	}
	mac.drains.toldAt[from] = now
	if mac.updateDrains(now, func(bok *drain.Book) { bok.Learn(now, rep) }) {
		mac.updateFollowers(now)
	}
}

// updateDrains applies an update to the drains, and reports whether followers must be told: a drain has changed, or
// this VM has learned for the first time which ones there are.
func (mac *Machine) updateDrains(now clock.Instant, update func(bok *drain.Book)) bool {
	bok := mac.drains.book
	before, known := bok.Revision(), bok.Known()
	update(bok)
	mac.entered(now, "drains", before, bok.Revision())
	return mac.drainsChanged(now) || !known && bok.Known()
}

// drainsChanged puts changes of the drains in force, and reports whether there were any.
func (mac *Machine) drainsChanged(now clock.Instant) bool {
	chs := mac.drains.book.TakeChanges()
	for _, chg := range chs {
		if chg.Drained {
			mac.log("domainDrained", "domain", chg.Domain, "retained", chg.Retained)
		} else {
			mac.log("domainRestored", "domain", chg.Domain)
		}
	}
	if len(chs) == 0 {
		return false
	}
	mac.setServices(now)
	return true
}

// tickDrains ends the drains that a restore of the store has lost for good.
func (mac *Machine) tickDrains(now clock.Instant) {
	mac.drains.book.Tick(now)
	if mac.drainsChanged(now) {
		mac.updateFollowers(now)
	}
}

// tellDrains sends the drains to a follower.
func (mac *Machine) tellDrains(now clock.Instant, to string, fol *follower) {
	if fol.knowsDrains && mac.keepsDrains() && mac.drains.book.Known() {
		mac.emit(Send{To: to, Message: mac.drains.book.Report(now)})
	}
}

// tellsDrains reports whether a VM tells this one the drains, where this one keeps to them.
func (mac *Machine) tellsDrains(now clock.Instant, from string) bool {
	at, told := mac.drains.toldAt[from]
	return !mac.keepsDrains() || told && now.Since(at) <= drainsReportAge
}

// drained reports whether nothing may be sent to a target since its failure domain is drained.
func (mac *Machine) drained(tgt health.Target) bool {
	return mac.drains.book.Drained(tgt.FailureDomain)
}

// runDrained is like drained for a run that another VM names.
func (mac *Machine) runDrained(run health.Run) bool {
	ent, registered := mac.registry.Entry(run.Target)
	return registered && mac.drains.book.Drained(ent.FailureDomain)
}

// placeBesideDrained asks the placer again for a request for which it chose a drained target, without all drained ones,
// and reports whether it did so. The placer may be of an older program, or may not know of the drain yet.
func (mac *Machine) placeBesideDrained(now clock.Instant, inf *inFlight, chosen string) bool {
	par := inf.queriedPartition
	if !slices.Contains(par.drained, chosen) || slices.Contains(inf.heldBack, chosen) {
		return false
	}
	inf.heldBack = append(inf.heldBack, par.drained...)
	mac.placeAt(now, inf, par)
	return true
}

// describe adds to a target what the configuration states of its service. The targets of a failure domain count as cold
// after its drain, since they may have started again meanwhile.
func (mac *Machine) describe(tgt health.Target, svc *config.Service) health.Target {
	tgt.Connections = svc.Connections
	tgt.Warmup = mac.set.Policy.Warmup.Limit(svc.ColdRate)
	if at := mac.drains.book.ReturnedAt(tgt.FailureDomain); at != (clock.Instant{}) {
		tgt.WarmAt = clock.Later(tgt.WarmAt, at.Add(svc.ColdStart))
	}
	return tgt
}

// noTargetDetail says why a service has no target.
func (mac *Machine) noTargetDetail(service string) string {
	if svc := mac.services[service]; svc != nil {
		for _, par := range svc.partitions {
			if len(par.drained) > 0 {
				return "all targets are in drained failure domains"
			}
		}
	}
	return "no target is registered"
}

// DomainStatus is what a VM knows about a failure domain.
type DomainStatus struct {
	Name    string
	Drained bool
	// Retained is set if the store does not show the drain after a restore.
	Retained bool
	// DrainedFor is how long ago this VM learned of the drain.
	DrainedFor time.Duration
	// Targets is the number of registered targets, and Running the number of attempts of this VM that still run there.
	Targets, Running int
}

// Domains returns the failure domains that have targets or are drained, sorted by name.
func (mac *Machine) Domains(now clock.Instant) []DomainStatus {
	byName := make(map[string]DomainStatus)
	for _, row := range mac.registry.Rows() {
		dom := byName[row.Value.FailureDomain]
		dom.Targets++
		byName[row.Value.FailureDomain] = dom
	}
	for _, drn := range mac.drains.book.Domains() {
		dom := byName[drn.Name]
		dom.Drained, dom.Retained, dom.DrainedFor = true, drn.Retained, now.Since(drn.Since)
		byName[drn.Name] = dom
	}
	for _, inf := range mac.requests {
		for _, att := range inf.live {
			dom := byName[att.target.FailureDomain]
			dom.Running++
			byName[att.target.FailureDomain] = dom
		}
	}
	var out []DomainStatus
	for _, name := range sortedNames(byName) {
		dom := byName[name]
		dom.Name = name
		out = append(out, dom)
	}
	return out
}

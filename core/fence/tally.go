package fence

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
)

// askTallies asks one watcher in every other failure domain, each in turn.
func (prv *Prover) askTallies(now clock.Instant) {
	for _, dom := range prv.domains {
		wts := prv.watchers[dom]
		if dom == prv.self.FailureDomain || len(wts) == 0 {
			continue
		}
		wat := wts[int(prv.sequence)%len(wts)]
		prv.send(wat.ID, TallyQuestion{
			Sequence: prv.question(now, wat.ID), Epoch: prv.head.Epoch, Version: prv.lease.Held(),
		})
	}
}

func (prv *Prover) tallyAsked(now clock.Instant, from string, que TallyQuestion) {
	if que.Version < prv.lease.Held() {
		prv.send(from, News{Head: prv.head})
	}
	if que.Version > prv.lease.Held() {
		prv.send(from, HeadQuestion{})
	}
	if que.Epoch != prv.head.Epoch {
		return
	}
	ans := TallyAnswer{
		Sequence: que.Sequence, Epoch: que.Epoch, Domain: prv.self.FailureDomain, Asked: que.Version,
		Accepted: prv.accepted, Version: prv.lease.Held(),
	}
	var moments []clock.Instant
	moments, ans.Version = prv.domainMoments(now)
	for _, mom := range moments {
		step := int(max(now.Since(mom), 0) / ageStep)
		if step >= maxAgeSteps {
			continue
		}
		for len(ans.Ages) <= step {
			ans.Ages = append(ans.Ages, 0)
		}
		ans.Ages[step]++
	}
	own := prv.countHolders(que.Version)
	ans.Holding, ans.HoldingPrior, ans.Lagging = own.holding, own.holdingPrior, own.lagging
	ans.Silent = prv.silent(now)
	prv.send(from, ans)
}

// domainMoments returns the moments at which members of this VM's failure
// domain voted, and the highest version voted for.
func (prv *Prover) domainMoments(now clock.Instant) ([]clock.Instant, uint64) {
	version := prv.lease.Held()
	var moments []clock.Instant
	for _, vmm := range prv.view.Domain(prv.self.FailureDomain) {
		if vmm.ID == prv.self.ID {
			moments = append(moments, now)
			continue
		}
		if vot := prv.votes[vmm.ID]; vot.dated {
			moments = append(moments, vot.moment)
			version = max(version, vot.version)
		}
	}
	return moments, version
}

// countHolders counts the members of this VM's failure domain, in the view and
// in the prior view, that hold a version or a newer one.
func (prv *Prover) countHolders(version uint64) holders {
	hol := holders{version: version}
	for _, vmm := range prv.view.Domain(prv.self.FailureDomain) {
		if prv.heldBy(vmm.ID) < version {
			hol.lagging = append(hol.lagging, vmm.ID)
			continue
		}
		hol.holding++
	}
	for _, vmm := range prv.prior.Domain(prv.self.FailureDomain) {
		if prv.heldBy(vmm.ID) >= version {
			hol.holdingPrior++
		}
	}
	return hol
}

func (prv *Prover) heldBy(id string) uint64 {
	if id == prv.self.ID || prv.gone[id] {
		return prv.lease.Held()
	}
	return prv.votes[id].version
}

// silent lists the members of this VM's failure domain not heard for a while.
func (prv *Prover) silent(now clock.Instant) []string {
	var out []string
	for _, vmm := range prv.view.Domain(prv.self.FailureDomain) {
		if vmm.ID != prv.self.ID && now.Since(prv.votes[vmm.ID].heard) >= silentAfter {
			out = append(out, vmm.ID)
		}
	}
	return out
}

func (prv *Prover) tallyAnswered(now clock.Instant, from string, ans TallyAnswer) {
	sent, found := prv.answered(from, ans.Sequence)
	if !found {
		return
	}
	if ans.Epoch != prv.head.Epoch {
		return
	}
	prv.accepted = max(prv.accepted, min(ans.Accepted, prv.lease.Held()))
	prv.tallies[ans.Domain] = tally{answer: ans, asked: sent}
	if ans.Asked == prv.lease.Held() {
		prv.holders[ans.Domain] = holders{
			version: ans.Asked, holding: ans.Holding, holdingPrior: ans.HoldingPrior, lagging: ans.Lagging,
		}
		prv.checkAccepted()
	}
	prv.prove(now)
}

// prove extends the lease by the votes of a majority of the view, where they
// are newer than the proof in hand.
func (prv *Prover) prove(now clock.Instant) {
	if !prv.Watcher() {
		return
	}
	moments, version := prv.domainMoments(now)
	for _, tal := range prv.tallies {
		version = max(version, tal.answer.Version)
		for step, cnt := range tal.answer.Ages {
			// Ages are rounded down when sent, so a whole step is added.
			mom := tal.asked.Add(-time.Duration(step+1) * ageStep)
			for range cnt {
				moments = append(moments, mom)
			}
		}
	}
	majority := prv.view.Majority()
	if len(moments) < majority {
		return
	}
	slices.SortFunc(moments, func(one, two clock.Instant) int { return int(two.Mono - one.Mono) })
	prv.lease = prv.lease.WithProof(Proof{Version: version, Moment: moments[majority-1]})
}

// checkAccepted notes that the head held is accepted once majorities of the
// view and of the prior view hold it.
func (prv *Prover) checkAccepted() {
	if !prv.Watcher() || prv.accepted >= prv.lease.Held() {
		return
	}
	spr := prv.Spread()
	if spr.Holding >= prv.view.Majority() && (prv.prior.Size() == 0 || spr.HoldingPrior >= prv.prior.Majority()) {
		prv.accepted = prv.lease.Held()
	}
}

// Spread says how far the head that the VM holds has come, as a watcher knows.
type Spread struct {
	Version      uint64
	Members      int
	Holding      int
	HoldingPrior int
	// Lagging lists the members that are not known to hold the head.
	Lagging []string
}

// Spread returns how far the head has come.
func (prv *Prover) Spread() Spread {
	spr := Spread{Version: prv.lease.Held(), Members: prv.view.Size()}
	for _, dom := range prv.domains {
		hol := prv.holders[dom]
		if dom == prv.self.FailureDomain {
			hol = prv.countHolders(spr.Version)
		} else if hol.version != spr.Version {
			hol = holders{lagging: ids(prv.view.Domain(dom))}
		}
		spr.Holding += hol.holding
		spr.HoldingPrior += hol.holdingPrior
		spr.Lagging = append(spr.Lagging, hol.lagging...)
	}
	for _, vmm := range prv.prior.VMs() {
		// No watcher speaks for a failure domain that has left the view.
		if !slices.Contains(prv.domains, vmm.FailureDomain) && prv.gone[vmm.ID] {
			spr.HoldingPrior++
		}
	}
	return spr
}

func ids(vms []member.VM) []string {
	out := make([]string, 0, len(vms))
	for _, vmm := range vms {
		out = append(out, vmm.ID)
	}
	return out
}

// Silent lists the members that the watchers of their failure domains, this VM
// among them, have not heard for a while, and the failure domains of which no
// watcher answers.
func (prv *Prover) Silent(now clock.Instant) (members, domains []string) {
	members = prv.silent(now)
	for _, dom := range prv.domains {
		if dom == prv.self.FailureDomain {
			continue
		}
		tal, found := prv.tallies[dom]
		if !found || now.Since(tal.asked) >= silentAfter {
			domains = append(domains, dom)
			continue
		}
		members = append(members, tal.answer.Silent...)
	}
	return members, domains
}

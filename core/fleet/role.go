package fleet

import (
	"slices"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
)

// role is what this VM knows of the role of one token server.
type role struct {
	// holder is the ID of the VM that holds the role, or empty, and revision that of its claim.
	holder   string
	revision uint64
	// doubtful is set if another VM may act as the holder than the list says: the claim in it is of an
	// earlier era or its holder waits, or there is none though claims may be lost.
	doubtful bool
	// kept is set while no VM has claimed the role since the store was restored, where this VM served until then:
	// its claim may be lost, but nobody else may serve.
	kept bool
	// freeAt is when every VM that held the role before the present holder must have stopped serving.
	freeAt clock.Instant
	// unsureUntil is until when this VM waits beyond that, because its list was never confirmed when it became the
	// holder, so that it may not show a previous one.
	unsureUntil clock.Instant
	// claimedAt is when this VM last decided to claim the role.
	claimedAt clock.Instant
	// inheritedBusy is the Busy value of the previous holder, as it was when this VM decided to
	// claim the role. The store accepts the claim only if the object has not changed since.
	inheritedBusy quota.Busy
}

// enterEra handles that the list is of a later era than before, of which nothing is confirmed yet. This VM keeps its
// roles only if its lease has not expired; otherwise they count as claimed anew.
func (fle *Fleet) enterEra(now clock.Instant) {
	fle.restored = true
	for num := range fle.roles {
		rol := &fle.roles[num]
		rol.kept = fle.MayServe(now, num)
		if !rol.kept && rol.holder == fle.self.ID && !fle.leased(now) {
			rol.holder = ""
		}
		rol.doubtful = true
	}
	fle.confirmedAt = clock.Moment{}
}

// setHolder takes the holder of the role of token server num from the list. If there is another one than before, it
// must wait until the previous holder can no longer serve, unless that one has released the role or is
// a run that has exited. This VM also waits if the list was never confirmed, since there may be a previous
// holder that an outdated list does not show.
func (fle *Fleet) setHolder(now clock.Instant, num int) {
	rol := &fle.roles[num]
	before, doubtful, exited := rol.holder, rol.doubtful, fle.HolderExited(num)
	row, found := fle.rows.Get(TokenServerName(num))
	rol.holder, rol.revision = row.Value.Holder, row.Revision
	if row.Value.Released {
		rol.holder = ""
	}
	older := row.Value.Era < fle.Era()
	rol.doubtful = found && (older || row.Value.Waiting) || !found && fle.restored
	kept := rol.kept && (rol.holder == fle.self.ID || !found || older && row.Value.Era != 0)
	rol.kept = kept && rol.doubtful
	if rol.holder == before || kept {
		return
	}
	leaseEnd := now.Add(LeaseTime + clockDriftMargin)
	if before == "" && rol.holder == fle.self.ID && !fle.confirmedAt.Known() {
		rol.unsureUntil = leaseEnd
	}
	if doubtful || before != "" && rol.holder != "" && !exited {
		rol.freeAt = leaseEnd
	}
}

// HolderExited reports whether the holder of the role of token server num is a run that is known to have exited, because
// another run is listed under the same VM name since its claim, or is known to have replaced it. A run that was listed before
// the claim proves nothing: a restored store may show an earlier one.
func (fle *Fleet) HolderExited(num int) bool {
	rol := fle.roles[num]
	if fle.isFormerSelf(rol.holder) {
		return true
	}
	name := member.Name(rol.holder)
	row, found := fle.rows.Get(VMName(name))
	suc, replaced := fle.successors[name]
	return found && row.Value.VM.ID != rol.holder && row.Revision > rol.revision || replaced && suc.replaced == rol.holder
}

// isFormerSelf reports whether the run with the given ID is an earlier one of this VM, which has exited
// since the present one runs.
func (fle *Fleet) isFormerSelf(id string) bool {
	return id != fle.self.ID && id != "" && member.Name(id) == fle.name
}

// Holder returns the ID of the VM that holds the role of token server num, or an empty string.
func (fle *Fleet) Holder(num int) string { return fle.roles[num].holder }

// Holders returns the IDs of the VMs that hold the roles of the token servers, with an empty
// string for each role that no VM holds.
func (fle *Fleet) Holders() []string {
	out := make([]string, 0, TokenServerCount)
	for _, rol := range fle.roles {
		out = append(out, rol.holder)
	}
	return out
}

// Vacant reports whether it is known that no VM serves tokens. It returns false until the list
// was read and confirmed once, since a list that was never confirmed may be outdated.
func (fle *Fleet) Vacant() bool {
	if fle.rows.Revision() == 0 || !fle.confirmedAt.Known() {
		return false
	}
	for num, rol := range fle.roles {
		if rol.holder != "" && !fle.HolderExited(num) {
			return false
		}
	}
	return true
}

// MayServe reports whether this VM may serve as token server num: it holds the role, its lease
// has not expired, and its wait for previous holders is over.
func (fle *Fleet) MayServe(now clock.Instant, num int) bool {
	return fle.roles[num].holder == fle.self.ID && fle.leased(now) && !fle.Waits(now, num)
}

// leased reports whether the leases of the roles that this VM holds have not expired.
func (fle *Fleet) leased(now clock.Instant) bool {
	return fle.confirmedAt.Within(LeaseTime, now)
}

// Waits reports whether the holder of the role of token server num has to wait for previous holders.
func (fle *Fleet) Waits(now clock.Instant, num int) bool {
	return now.Before(fle.roles[num].freeAt) || now.Before(fle.roles[num].unsureUntil)
}

// ShouldRenew reports whether this VM is to write its claim of the role of token server num again now: it may serve,
// which the claim in the list does not prove. If so, it records the time.
func (fle *Fleet) ShouldRenew(now clock.Instant, num int) bool {
	rol := &fle.roles[num]
	if !rol.doubtful || !fle.MayServe(now, num) || fle.claimed(now, rol) {
		return false
	}
	rol.claimedAt = now
	return true
}

// Claim returns the row by which this VM claims or keeps the role of token server num, if it writes it now.
func (fle *Fleet) Claim(now clock.Instant, num int, bus quota.Busy) Row {
	rol := &fle.roles[num]
	free := rol.holder == "" || fle.HolderExited(num)
	certain := rol.holder == fle.self.ID || free && (!rol.doubtful || rol.kept)
	return Row{Holder: fle.self.ID, Busy: bus, Era: fle.Era(), Waiting: !certain || now.Before(rol.freeAt)}
}

// claimed reports whether this VM has decided to claim a role lately.
func (fle *Fleet) claimed(now clock.Instant, rol *role) bool {
	return rol.claimedAt != (clock.Instant{}) && now.Since(rol.claimedAt) < claimInterval
}

// ShouldClaim reports whether this VM is to claim the role of token server num now: no listed
// VM holds the role, and this VM ranks first for it or held it in an earlier run. If so, it records
// the time and the Busy value that InheritedBusy returns.
func (fle *Fleet) ShouldClaim(now clock.Instant, num int) bool {
	rol := &fle.roles[num]
	if fle.view.Size() == 0 || fle.claimed(now, rol) {
		return false
	}
	if _, listed := fle.view.VM(rol.holder); listed {
		return false
	}
	if fle.candidate(num) != fle.self.ID && !fle.isFormerSelf(rol.holder) {
		return false
	}
	rol.claimedAt = now
	rol.inheritedBusy = quota.Busy{All: true}
	if row, found := fle.rows.Get(TokenServerName(num)); found && !rol.doubtful {
		rol.inheritedBusy = row.Value.Busy
	}
	return true
}

// InheritedBusy returns the busy organisations of the previous holder of the role of token server
// num: those that it may have granted their whole window limit.
func (fle *Fleet) InheritedBusy(num int) quota.Busy { return fle.roles[num].inheritedBusy }

// Busy returns the busy organisations of the holder of the role of token server num.
func (fle *Fleet) Busy(num int) quota.Busy {
	row, _ := fle.rows.Get(TokenServerName(num))
	return row.Value.Busy
}

// candidate returns the ID of the VM that is to hold the role of token server num: the first in
// rank of a failure domain. Each role starts with another domain, as far as there are enough,
// and goes on to the next one if the domain has no VM for it. The VM that has released the role
// is left out, because it is stopping, though it may still be listed.
func (fle *Fleet) candidate(num int) string {
	row, _ := fle.rows.Get(TokenServerName(num))
	domains := fle.view.Domains()
	for off := range domains {
		vms := slices.Clone(fle.view.Domain(domains[(num+off)%len(domains)]))
		vms = slices.DeleteFunc(vms, func(vmm member.VM) bool { return row.Value.Released && vmm.ID == row.Value.Holder })
		if first := member.Ranked(vms, TokenServerName(num), 1); len(first) > 0 {
			return first[0].ID
		}
	}
	return ""
}

package rate

import (
	"time"

	"marigoldlug.example/core/clock"
)

// runSurvey asks the members that have not said what they held. Only homes
// need the answers, and every member may be one.
func (led *Ledger) runSurvey(now clock.Instant) {
	srv := &led.survey
	if srv.version == 0 || srv.isComplete || srv.asked != (clock.Instant{}) && now.Since(srv.asked) < surveyInterval {
		return
	}
	srv.asked = now
	for _, vmm := range led.fleet.View.VMs() {
		switch {
		case srv.answered[vmm.ID]:
		case vmm.ID == led.self:
			led.held(now, led.self, led.holdings(led.self))
		default:
			led.send(vmm.ID, Survey{Epoch: srv.epoch, Version: srv.version})
		}
	}
}

// checkComplete mints what waits for the survey once every member has answered.
func (led *Ledger) checkComplete(now clock.Instant) {
	srv := &led.survey
	if srv.isComplete || len(srv.answered) < led.fleet.View.Size() {
		return
	}
	srv.isComplete = true
	srv.complete = now
	for _, organisation := range led.order {
		acc := led.accounts[organisation]
		led.mint(now, acc)
		led.serve(now, acc)
	}
}

// surveyed answers a member that is in the same rounds. What this VM held when
// it entered earlier rounds is not kept, and later ones it has yet to enter.
func (led *Ledger) surveyed(from string, srv Survey) {
	if srv.Version > led.survey.version && led.survey.early != nil {
		led.survey.early[from] = srv
	}
	if srv.Epoch != led.survey.epoch || srv.Version != led.survey.version {
		return
	}
	led.send(from, led.holdings(from))
}

// holdings lists what this VM held when it entered its present rounds, of the
// organisations whose first home is the given VM.
func (led *Ledger) holdings(home string) Holdings {
	hol := Holdings{Epoch: led.survey.epoch, Version: led.survey.version}
	for _, organisation := range led.order {
		acc := led.accounts[organisation]
		if acc.entered != (Limit{}) && len(acc.homes) > 0 && acc.homes[0] == home {
			hol.List = append(hol.List, Holding{Organisation: organisation, Round: acc.round, Entered: acc.entered})
		}
	}
	return hol
}

// held takes the answer of a member. An answer to an older survey says nothing
// about the present rounds.
func (led *Ledger) held(now clock.Instant, from string, hol Holdings) {
	srv := &led.survey
	if hol.Epoch != srv.epoch || hol.Version != srv.version || srv.answered[from] {
		return
	}
	if _, member := led.fleet.View.VM(from); !member {
		return
	}
	// Only members are counted, so that their number tells when all have answered.
	srv.answered[from] = true
	for _, one := range hol.List {
		sum := srv.held[one.Organisation]
		srv.held[one.Organisation] = Limit{Rate: sum.Rate + one.Entered.Rate, Burst: sum.Burst + one.Entered.Burst}
	}
	led.checkComplete(now)
}

// mint creates what no VM holds of an organisation, if this VM is its first
// home, every member has said what it held, and every VM outside the view has
// surely stopped acting.
func (led *Ledger) mint(now clock.Instant, acc *account) {
	if acc.minted || led.stopping || !led.mayMint(now, acc) {
		return
	}
	acc.minted = true
	held := led.survey.held[acc.organisation]
	lim := acc.allowance.Limit
	full := Limit{Rate: lim.Rate - lim.Rate/driftShare, Burst: lim.Burst}
	gra := Grant{Rate: max(full.Rate-held.Rate, 0), Burst: max(full.Burst-held.Burst, 0)}
	if acc.round == acc.allowance.Created {
		gra.Tokens = gra.Burst
	}
	acc.add(now, gra)
	led.endow(now, acc, gra)
}

func (led *Ledger) mayMint(now clock.Instant, acc *account) bool {
	srv := &led.survey
	if !srv.isComplete || len(acc.homes) == 0 || acc.homes[0] != led.self {
		return false
	}
	// Of a new organisation no VM outside the view can hold anything.
	return acc.round == acc.allowance.Created || now.Since(srv.complete) >= led.fenceTime()
}

// awaitsMint reports whether this VM is the first home of a new organisation
// and may mint its allowance in a moment.
func (led *Ledger) awaitsMint(acc *account) bool {
	return !acc.minted && !led.survey.isComplete && acc.round == acc.allowance.Created && len(acc.homes) > 0 && acc.homes[0] == led.self
}

// fenceTime is how long after the survey a VM outside the view may still act.
func (led *Ledger) fenceTime() time.Duration {
	return led.lease + led.lease/slackShare
}

// endow gives the other homes their parts of what was minted.
func (led *Ledger) endow(now clock.Instant, acc *account, gra Grant) {
	cnt := int64(len(acc.homes))
	part := Grant{Rate: gra.Rate / PerSecond(cnt), Burst: gra.Burst / Tokens(cnt), Tokens: gra.Tokens / Tokens(cnt)}
	for _, home := range acc.homes[1:] {
		led.transfer(now, acc, home, part, Transfer{})
	}
}

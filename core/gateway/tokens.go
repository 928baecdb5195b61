package gateway

import (
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/rate"
)

// serveTokens answers a query for tokens.
func (mac *Machine) serveTokens(now clock.Instant, from string, qry quota.Query) {
	gra := mac.grant(now, qry)
	if from == mac.set.Self.ID {
		mac.tokens.HandleGrant(now, gra)
		return
	}
	mac.emit(Send{To: from, Message: gra})
}

// grant decides on a query for tokens. The grant says NotServing if this VM does not run the token
// server that is queried.
func (mac *Machine) grant(now clock.Instant, qry quota.Query) quota.Grant {
	if qry.Server < 0 || qry.Server >= fleet.TokenServerCount || mac.tokenServers[qry.Server] == nil || !mac.fleet.MayServe(now, qry.Server) {
		return quota.Grant{Organisation: qry.Organisation, Number: qry.Number, NotServing: true}
	}
	gra := mac.tokenServers[qry.Server].Answer(now, qry)
	mac.tokenCounts["granted"] += uint64(gra.Count)
	if short := qry.Need - gra.Count; short > 0 {
		mac.tokenCounts["refused"] += uint64(short)
	}
	return gra
}

// tokenServerView returns which token servers can be queried.
func (mac *Machine) tokenServerView() quota.ServerView {
	sev := quota.ServerView{Servers: mac.fleet.Holders(), Vacant: mac.fleet.Vacant(), VMs: mac.fleet.View().Size()}
	for num, id := range sev.Servers {
		if mac.stopping && id == mac.set.Self.ID || mac.fleet.HolderExited(num) {
			sev.Servers[num] = "" // The listed holder is stopping or has exited.
		}
		if vmm, _ := mac.fleet.View().VM(id); vmm.FailureDomain == mac.set.Self.FailureDomain {
			sev.Preferred = num
		}
	}
	return sev
}

// updateTokenServers starts or stops token servers according to the list of VMs.
func (mac *Machine) updateTokenServers(now clock.Instant) {
	for num := range mac.tokenServers {
		switch srv := mac.tokenServers[num]; {
		case srv != nil && (mac.fleet.Holder(num) != mac.set.Self.ID || mac.fleet.Waits(now, num)):
			mac.log("ceaseTokens", "part", num, "holder", mac.fleet.Holder(num))
			mac.tokenServers[num] = nil
		case srv == nil && mac.config != nil && !mac.stopping && mac.fleet.MayServe(now, num):
			mac.log("serveTokens", "part", num, "proofAge", mac.fleet.ConfirmedAt().AgeOr(neverAge, now))
			mac.tokenServers[num] = quota.NewServer(now, mac.set.Policy.Quota, fleet.TokenServerCount, mac.fleet.InheritedBusy(num), mac.limit)
		case srv != nil:
			mac.publishBusy(now, num)
		}
	}
}

// publishBusy writes the busy organisations of a token server that this VM runs to the store.
func (mac *Machine) publishBusy(now clock.Instant, num int) {
	srv := mac.tokenServers[num]
	srv.SetStored(mac.fleet.Busy(num))
	bus, due := srv.Desired(now)
	if !due || !mac.fleet.MayServe(now, num) {
		return
	}
	name := fleet.TokenServerName(num)
	mac.log("busyOrganisations", "part", num, "all", bus.All, "names", bus.Names)
	mac.emit(Write{Name: name, Row: mac.fleet.Claim(now, num, bus), Revision: mac.fleet.ObjectRevision(name)})
}

// limit returns the rate limit of an organisation, the zero limit if it has none, and whether the
// organisation is known.
func (mac *Machine) limit(organisation string) (rate.Limit, bool) {
	if mac.config == nil {
		return rate.Limit{}, false
	}
	org := mac.config.Snapshot.Organisation(organisation)
	if org == nil {
		return rate.Limit{}, false
	}
	if org.Limit.Rate <= 0 {
		return rate.Limit{}, true
	}
	return org.Limit, true
}

// drainTokenOutputs handles the outputs of the token client until none is left.
func (mac *Machine) drainTokenOutputs(now clock.Instant) {
	for outs := mac.tokens.TakeOutputs(); len(outs) > 0; outs = mac.tokens.TakeOutputs() {
		for _, out := range outs {
			switch out := out.(type) {
			case quota.Send:
				mac.sendTokenQuery(now, out)
			case quota.Decision:
				mac.rateLimitDecided(now, out)
			}
		}
	}
}

func (mac *Machine) sendTokenQuery(now clock.Instant, snd quota.Send) {
	if snd.To == mac.set.Self.ID {
		mac.serveTokens(now, snd.To, snd.Query)
		return
	}
	mac.emit(Send{To: snd.To, Message: snd.Query})
}

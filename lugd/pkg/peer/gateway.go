package peer

import (
	"slices"
	"time"

	"marigoldlug.example/core/bootstrap"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

// encodeCoreMessage encodes a message of the core packages, and reports whether msg is one.
func (wrt *writer) encodeCoreMessage(msg any) bool {
	switch msg := msg.(type) {
	case feed.Query:
		wrt.feedQuery(msg)
	case gateway.Update:
		wrt.update(msg)
	case gateway.Ping:
		wrt.unsigned(kindVMPing)
	case gateway.Pong:
		wrt.unsigned(kindVMPong)
	case gateway.PortQuery:
		wrt.unsigned(kindPortQuery)
		wrt.text(msg.Service)
		wrt.run(msg.Run)
	case gateway.PortReply:
		wrt.unsigned(kindPortReply)
		wrt.run(msg.Run)
		wrt.boolean(msg.Reached)
	case gateway.PathsWarning:
		wrt.unsigned(kindPathsWarning)
		wrt.text(msg.Service)
	case drain.Report:
		wrt.drains(msg)
	case bootstrap.Newcomer:
		wrt.unsigned(kindNewcomer)
	case gateway.Departures:
		wrt.departures(msg)
	case quota.Query:
		wrt.unsigned(kindTokenQuery)
		wrt.text(msg.Organisation)
		wrt.signed(int64(msg.Server))
		wrt.unsigned(msg.Number)
		wrt.signed(int64(msg.Need))
		wrt.signed(int64(msg.Prefetch))
	case quota.Grant:
		wrt.unsigned(kindTokenGrant)
		wrt.text(msg.Organisation)
		wrt.unsigned(msg.Number)
		wrt.signed(int64(msg.Count))
		wrt.duration(msg.RetryAfter)
		wrt.boolean(msg.NotServing)
	default:
		return wrt.encodePlacementMessage(msg) || wrt.encodeQuarantineMessage(msg)
	}
	return true
}

// decodeCoreMessage decodes a message of the core packages; it returns nil if the kind is unknown.
func (rdr *reader) decodeCoreMessage(kind uint64) any {
	switch kind {
	case kindFeedQuery:
		return rdr.feedQuery()
	case kindFeedUpdate:
		return rdr.update()
	case kindEraUpdate:
		return rdr.eraUpdate()
	case kindDrains:
		return rdr.drains()
	case kindNewcomer:
		return bootstrap.Newcomer{}
	case kindDepartures:
		return rdr.departures()
	case kindVMPing:
		return gateway.Ping{}
	case kindVMPong:
		return gateway.Pong{}
	case kindPortQuery:
		return gateway.PortQuery{Service: rdr.text(), Run: rdr.run()}
	case kindPortReply:
		return gateway.PortReply{Run: rdr.run(), Reached: rdr.boolean()}
	case kindPathsWarning:
		return gateway.PathsWarning{Service: rdr.text()}
	case kindTokenQuery:
		return quota.Query{Organisation: rdr.text(), Server: int(rdr.signed()), Number: rdr.unsigned(), Need: int(rdr.signed()), Prefetch: int(rdr.signed())}
	case kindTokenGrant:
		return quota.Grant{Organisation: rdr.text(), Number: rdr.unsigned(), Count: int(rdr.signed()), RetryAfter: rdr.duration(), NotServing: rdr.boolean()}
	}
	if msg := rdr.decodeQuarantineMessage(kind); msg != nil {
		return msg
	}
	return rdr.decodePlacementMessage(kind)
}

// feedQuery encodes a query. The eras of the revisions, and then whether the sender keeps to drains, has just started and knows departures, stand at
// the end, where older programs do not read.
func (wrt *writer) feedQuery(msg feed.Query) {
	wrt.unsigned(kindFeedQuery)
	wrt.unsigned(msg.Number)
	wrt.unsigned(msg.Config)
	wrt.unsigned(revision.Number(msg.Targets))
	wrt.unsigned(revision.Number(msg.Fleet))
	if msg.KnowsEras {
		wrt.era(revision.EraOf(msg.Targets))
		wrt.era(revision.EraOf(msg.Fleet))
	}
	if !msg.KnowsEras || !msg.KnowsDrains && !msg.Starting {
		return
	}
	wrt.boolean(msg.KnowsDrains)
	if msg.Starting {
		wrt.boolean(true)
	}
	if msg.Starting && msg.KnowsDepartures {
		wrt.boolean(true)
	}
}

func (rdr *reader) feedQuery() feed.Query {
	msg := feed.Query{Number: rdr.unsigned(), Config: rdr.unsigned(), Targets: rdr.number(), Fleet: rdr.number()}
	if rdr.err != nil || rdr.src.Len() == 0 {
		return msg
	}
	msg.KnowsEras = true
	msg.Targets = revision.Join(rdr.era(), msg.Targets)
	msg.Fleet = revision.Join(rdr.era(), msg.Fleet)
	if rdr.err == nil && rdr.src.Len() > 0 {
		msg.KnowsDrains = rdr.boolean()
	}
	if rdr.err == nil && rdr.src.Len() > 0 {
		msg.Starting = rdr.boolean()
	}
	if rdr.err == nil && rdr.src.Len() > 0 {
		msg.KnowsDepartures = rdr.boolean()
	}
	return msg
}

// update encodes an update. Where it has an era, the eras of its revisions and of the claims in it come first.
func (wrt *writer) update(msg gateway.Update) {
	if msg.Era == 0 {
		wrt.unsigned(kindFeedUpdate)
		wrt.updateBody(msg)
		return
	}
	wrt.unsigned(kindEraUpdate)
	wrt.era(msg.Era)
	wrt.era(revision.EraOf(msg.Targets.Revision))
	wrt.era(revision.EraOf(msg.Fleet.Revision))
	wrt.claims(msg.Fleet)
	wrt.updateBody(msg)
}

// claims encodes what rows of the fleet list say of claims that older programs do not know.
func (wrt *writer) claims(del table.Delta[fleet.Row]) {
	rows := slices.DeleteFunc(slices.Clone(del.Rows), func(row table.Row[fleet.Row]) bool { return row.Value.Era == 0 })
	wrt.count(len(rows))
	for _, row := range rows {
		wrt.text(row.Name)
		wrt.era(row.Value.Era)
		wrt.boolean(row.Value.Waiting)
	}
}

// claims decodes what claims say, by the names of their rows.
func (rdr *reader) claims() map[string]fleet.Row {
	out := make(map[string]fleet.Row)
	for range rdr.count() {
		name := rdr.text()
		out[name] = fleet.Row{Era: rdr.era(), Waiting: rdr.boolean()}
	}
	return out
}

// eraUpdate decodes an update with eras.
func (rdr *reader) eraUpdate() gateway.Update {
	era, targets, list := rdr.era(), rdr.era(), rdr.era()
	claims := rdr.claims()
	msg := rdr.update()
	msg.Era = era
	joinDelta(&msg.Targets, targets)
	joinDelta(&msg.Fleet, list)
	for num, row := range msg.Fleet.Rows {
		claim := claims[row.Name]
		msg.Fleet.Rows[num].Value.Era, msg.Fleet.Rows[num].Value.Waiting = claim.Era, claim.Waiting
	}
	return msg
}

// joinDelta adds the era to the revisions of a delta.
func joinDelta[T any](del *table.Delta[T], era revision.Era) {
	del.Since, del.Revision = revision.Join(era, del.Since), revision.Join(era, del.Revision)
	for num := range del.Rows {
		del.Rows[num].Revision = revision.Join(era, del.Rows[num].Revision)
	}
}

func (wrt *writer) era(val revision.Era) { wrt.unsigned(uint64(val)) }

// era decodes an era; one that is too large is malformed.
func (rdr *reader) era() revision.Era {
	val := revision.Era(rdr.unsigned())
	if rdr.err == nil && val > revision.MaxEra {
		rdr.err = errMalformed
	}
	return val
}

// number decodes the store's number of a revision; one that is too large is malformed.
func (rdr *reader) number() uint64 {
	val := rdr.unsigned()
	if rdr.err == nil && val > revision.MaxNumber {
		rdr.err = errMalformed
	}
	return val
}

func (wrt *writer) updateBody(msg gateway.Update) {
	wrt.unsigned(msg.Number)
	wrt.duration(msg.Ages.Config)
	wrt.duration(msg.Ages.Targets)
	wrt.duration(msg.Ages.Fleet)
	wrt.duration(msg.Ages.Contact)
	wrt.unsigned(msg.Version)
	wrt.boolean(msg.Config != nil)
	if msg.Config != nil {
		wrt.unsigned(msg.Config.Version)
		wrt.content(msg.Config.Content)
	}
	wrt.boolean(msg.Patch != nil)
	if msg.Patch != nil {
		wrt.patch(*msg.Patch)
	}
	writeDelta(wrt, msg.Targets, wrt.entry)
	writeDelta(wrt, msg.Fleet, wrt.fleetRow)
	wrt.appendix(msg)
}

func (rdr *reader) update() gateway.Update {
	msg := gateway.Update{Number: rdr.unsigned(), Ages: gateway.Ages{Config: rdr.duration(), Targets: rdr.duration(), Fleet: rdr.duration(), Contact: rdr.duration()}}
	msg.Version = rdr.unsigned()
	whole := rdr.boolean()
	var version uint64
	var con config.Content
	if whole {
		version, con = rdr.unsigned(), rdr.content()
	}
	if rdr.boolean() {
		pat := rdr.patch()
		msg.Patch = &pat
	}
	msg.Targets = readDelta(rdr, rdr.entry)
	msg.Fleet = readDelta(rdr, rdr.fleetRow)
	rdr.appendix(&msg, &con)
	if whole && rdr.err == nil {
		msg.Config = gateway.NewConfig(version, con)
	}
	return msg
}

func writeDelta[T any](wrt *writer, del table.Delta[T], value func(val T)) {
	wrt.boolean(del.Whole)
	wrt.unsigned(revision.Number(del.Since))
	wrt.unsigned(revision.Number(del.Revision))
	wrt.count(len(del.Rows))
	for _, row := range del.Rows {
		wrt.text(row.Name)
		wrt.unsigned(revision.Number(row.Revision))
		value(row.Value)
	}
	wrt.texts(del.Removed)
}

func readDelta[T any](rdr *reader, value func() T) table.Delta[T] {
	del := table.Delta[T]{Whole: rdr.boolean(), Since: rdr.number(), Revision: rdr.number()}
	for range rdr.count() {
		del.Rows = append(del.Rows, table.Row[T]{Name: rdr.text(), Revision: rdr.number(), Value: value()})
		if rdr.err != nil {
			break
		}
	}
	del.Removed = rdr.texts()
	return del
}

func (wrt *writer) entry(ent registry.Entry) {
	wrt.text(ent.Service)
	wrt.text(ent.Address)
	wrt.text(ent.FailureDomain)
	wrt.text(ent.Version)
	wrt.signed(int64(ent.Slots))
	wrt.boolean(ent.Leaving)
	wrt.duration(ent.Warming)
	wrt.signed(ent.Born.UnixMilli())
}

func (rdr *reader) entry() registry.Entry {
	return registry.Entry{
		Service: rdr.text(), Address: rdr.text(), FailureDomain: rdr.text(), Version: rdr.text(), Slots: int(rdr.signed()),
		Leaving: rdr.boolean(), Warming: rdr.duration(), Born: time.UnixMilli(rdr.signed()),
	}
}

func (wrt *writer) fleetRow(row fleet.Row) {
	wrt.vm(row.VM)
	wrt.text(row.Name)
	wrt.text(row.Holder)
	wrt.boolean(row.Released)
	wrt.boolean(row.Busy.All)
	wrt.texts(row.Busy.Names)
}

func (rdr *reader) fleetRow() fleet.Row {
	return fleet.Row{
		VM: rdr.vm(), Name: rdr.text(), Holder: rdr.text(), Released: rdr.boolean(),
		Busy: quota.Busy{All: rdr.boolean(), Names: rdr.texts()},
	}
}

package peer

import (
	"time"

	"marigoldlug.example/core/feed"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/table"
)

func (wrt *writer) gateway(msg any) bool {
	switch msg := msg.(type) {
	case feed.Query:
		wrt.number(kindFeedAsk)
		wrt.number(msg.Number)
		wrt.number(msg.Config)
		wrt.number(msg.Targets)
		wrt.number(msg.Fleet)
	case gateway.Update:
		wrt.news(msg)
	case gateway.Ping:
		wrt.number(kindVMPing)
	case gateway.Pong:
		wrt.number(kindVMPong)
	case quota.Query:
		wrt.number(kindTokenAsk)
		wrt.text(msg.Organisation)
		wrt.whole(int64(msg.Server))
		wrt.number(msg.Number)
		wrt.whole(int64(msg.Need))
		wrt.whole(int64(msg.Prefetch))
	case quota.Grant:
		wrt.number(kindTokenGrant)
		wrt.text(msg.Organisation)
		wrt.number(msg.Number)
		wrt.whole(int64(msg.Count))
		wrt.duration(msg.RetryAfter)
		wrt.boolean(msg.NotServing)
	default:
		return wrt.placement(msg)
	}
	return true
}

func (rdr *reader) gateway(kind uint64) any {
	switch kind {
	case kindFeedAsk:
		return feed.Query{Number: rdr.number(), Config: rdr.number(), Targets: rdr.number(), Fleet: rdr.number()}
	case kindFeedNews:
		return rdr.news()
	case kindVMPing:
		return gateway.Ping{}
	case kindVMPong:
		return gateway.Pong{}
	case kindTokenAsk:
		return quota.Query{Organisation: rdr.text(), Server: int(rdr.whole()), Number: rdr.number(), Need: int(rdr.whole()), Prefetch: int(rdr.whole())}
	case kindTokenGrant:
		return quota.Grant{Organisation: rdr.text(), Number: rdr.number(), Count: int(rdr.whole()), RetryAfter: rdr.duration(), NotServing: rdr.boolean()}
	}
	return rdr.placement(kind)
}

func (wrt *writer) news(msg gateway.Update) {
	wrt.number(kindFeedNews)
	wrt.number(msg.Number)
	wrt.duration(msg.Ages.Config)
	wrt.duration(msg.Ages.Targets)
	wrt.duration(msg.Ages.Fleet)
	wrt.duration(msg.Ages.Contact)
	wrt.number(msg.Version)
	wrt.boolean(msg.Config != nil)
	if msg.Config != nil {
		wrt.number(msg.Config.Version)
		wrt.content(msg.Config.Content)
	}
	wrt.boolean(msg.Patch != nil)
	if msg.Patch != nil {
		wrt.patch(*msg.Patch)
	}
	writeDelta(wrt, msg.Targets, wrt.entry)
	writeDelta(wrt, msg.Fleet, wrt.fleetRow)
}

func (rdr *reader) news() gateway.Update {
	msg := gateway.Update{Number: rdr.number(), Ages: gateway.Ages{Config: rdr.duration(), Targets: rdr.duration(), Fleet: rdr.duration(), Contact: rdr.duration()}}
	msg.Version = rdr.number()
	if rdr.boolean() {
		version := rdr.number()
		con := rdr.content()
		if rdr.err == nil {
			msg.Config = gateway.NewConfig(version, con)
		}
	}
	if rdr.boolean() {
		pat := rdr.patch()
		msg.Patch = &pat
	}
	msg.Targets = readDelta(rdr, rdr.entry)
	msg.Fleet = readDelta(rdr, rdr.fleetRow)
	return msg
}

func writeDelta[T any](wrt *writer, del table.Delta[T], value func(val T)) {
	wrt.boolean(del.Whole)
	wrt.number(del.Since)
	wrt.number(del.Revision)
	wrt.count(len(del.Rows))
	for _, row := range del.Rows {
		wrt.text(row.Name)
		wrt.number(row.Revision)
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
	wrt.whole(int64(ent.Slots))
	wrt.boolean(ent.Leaving)
	wrt.duration(ent.Warming)
	wrt.whole(ent.Born.UnixMilli())
}

func (rdr *reader) entry() registry.Entry {
	return registry.Entry{
		Service: rdr.text(), Address: rdr.text(), FailureDomain: rdr.text(), Version: rdr.text(), Slots: int(rdr.whole()),
		Leaving: rdr.boolean(), Warming: rdr.duration(), Born: time.UnixMilli(rdr.whole()),
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

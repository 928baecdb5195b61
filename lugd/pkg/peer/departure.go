package peer

import (
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/registry"
)

func (wrt *writer) departures(msg gateway.Departures) {
	wrt.unsigned(kindDepartures)
	wrt.boolean(msg.Known)
	wrt.count(len(msg.Runs))
	for _, dep := range msg.Runs {
		wrt.run(dep.Run)
		wrt.boolean(dep.Leaving)
		wrt.boolean(dep.Removed)
	}
}

func (rdr *reader) departures() gateway.Departures {
	msg := gateway.Departures{Known: rdr.boolean()}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		msg.Runs = append(msg.Runs, registry.Departure{Run: rdr.run(), Leaving: rdr.boolean(), Removed: rdr.boolean()})
	}
	return msg
}

package peer

import (
	"strings"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/gateway"
)

// The appendix is the end of an update. It is a list of names with contents of the quarantine. Programs that know the
// quarantine add the contents to the rows of the fleet list that have these names and ignore other names; older ones do not read
// the appendix. So names that no row can have tell newer programs more.

// largeRoutePrefix precedes the name of a route with large responses, as a name in the appendix.
const largeRoutePrefix = "config.largeResponses/"

// appendix encodes the appendix of an update.
func (wrt *writer) appendix(msg gateway.Update) {
	wrt.quarantineRows(msg.Fleet)
	if msg.Config != nil {
		wrt.largeRoutes(msg.Config.Content.Routes)
	}
	if msg.Patch != nil {
		wrt.largeRoutes(msg.Patch.Change.Changed.Routes)
	}
	wrt.serviceFields(msg)
}

func (wrt *writer) largeRoutes(rous []config.Route) {
	for _, rou := range rous {
		if rou.LargeResponses {
			wrt.text(largeRoutePrefix + rou.Name)
			wrt.quarantineReports(nil)
		}
	}
}

// appendix adds to an update what its appendix tells. con is the content of the configuration in it.
func (rdr *reader) appendix(msg *gateway.Update, con *config.Content) {
	for rdr.err == nil && rdr.src.Len() > 0 {
		name, rps := rdr.text(), rdr.quarantineReports()
		if route, large := strings.CutPrefix(name, largeRoutePrefix); large {
			setLarge(con.Routes, route)
			if msg.Patch != nil {
				setLarge(msg.Patch.Change.Changed.Routes, route)
			}
			continue
		}
		if fields, found := strings.CutPrefix(name, serviceFieldsPrefix); found && rdr.err == nil {
			rdr.keep(setServiceFields(msg, con, []byte(fields)))
			continue
		}
		setQuarantine(msg.Fleet, name, rps)
	}
}

// setLarge marks the route with a name as one with large responses.
func setLarge(rous []config.Route, name string) {
	for num := range rous {
		if rous[num].Name == name {
			rous[num].LargeResponses = true
		}
	}
}

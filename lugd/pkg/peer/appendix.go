package peer

import (
	"strings"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/rate"
)

// The appendix is the end of an update. It is a list of names with contents of the quarantine. Programs that know the
// quarantine add the contents to the rows of the fleet list that have these names and ignore other names; older ones do not read
// the appendix. So names that no row can have, with no contents, tell newer programs more.
const (
	// largeRoutePrefix precedes the name of a route with large responses.
	largeRoutePrefix = "config.largeResponses/"
	// serviceFieldsPrefix precedes encoded fields of services.
	serviceFieldsPrefix = "\x00services"
)

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

// serviceFields encodes the fields of services that the frames of older programs do not have.
func (wrt *writer) serviceFields(msg gateway.Update) {
	svs := coldServices(msg)
	if len(svs) == 0 {
		return
	}
	inner := newWriter()
	inner.count(len(svs))
	for _, svc := range svs {
		inner.text(svc.Name)
		inner.duration(svc.ColdStart)
		inner.signed(int64(svc.ColdRate))
	}
	wrt.keep(inner.err)
	wrt.text(serviceFieldsPrefix + inner.buf.String())
	wrt.quarantineReports(nil)
}

// coldServices returns the services in an update that have such fields.
func coldServices(msg gateway.Update) []config.Service {
	var all, out []config.Service
	if msg.Config != nil {
		all = msg.Config.Content.Services
	}
	if msg.Patch != nil {
		all = append(all[:len(all):len(all)], msg.Patch.Change.Changed.Services...)
	}
	for _, svc := range all {
		if svc.ColdStart != 0 || svc.ColdRate != 0 {
			out = append(out, svc)
		}
	}
	return out
}

// setServiceFields adds encoded fields to the services in an update. con is the content of the configuration in it.
func setServiceFields(msg *gateway.Update, con *config.Content, raw []byte) error {
	rdr := newReader(raw)
	fields := make(map[string]config.Service)
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		name := rdr.text()
		fields[name] = config.Service{ColdStart: rdr.duration(), ColdRate: rate.PerSecond(rdr.signed())}
	}
	if rdr.err != nil {
		return rdr.err
	}
	con.Services = withFields(con.Services, fields)
	if msg.Patch != nil {
		msg.Patch.Change.Changed.Services = withFields(msg.Patch.Change.Changed.Services, fields)
	}
	return nil
}

// withFields returns services with the fields that were encoded by their names.
func withFields(svs []config.Service, fields map[string]config.Service) []config.Service {
	for num := range svs {
		svs[num].ColdStart, svs[num].ColdRate = fields[svs[num].Name].ColdStart, fields[svs[num].Name].ColdRate
	}
	return svs
}

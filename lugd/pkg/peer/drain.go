package peer

import (
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/drain"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/rate"
	"marigoldlug.example/core/revision"
)

func (wrt *writer) drains(rep drain.Report) {
	wrt.unsigned(kindDrains)
	wrt.era(revision.EraOf(rep.Revision))
	wrt.unsigned(revision.Number(rep.Revision))
	wrt.texts(rep.Shown)
	wrt.count(len(rep.Retained))
	for _, ret := range rep.Retained {
		wrt.text(ret.Domain)
		wrt.duration(ret.Left)
	}
}

func (rdr *reader) drains() drain.Report {
	rep := drain.Report{Revision: revision.Join(rdr.era(), rdr.number()), Shown: rdr.texts()}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		rep.Retained = append(rep.Retained, drain.Retained{Domain: rdr.text(), Left: rdr.duration()})
	}
	return rep
}

// serviceFieldsPrefix begins the name of a row that holds fields of services. It is not the name of an object of
// the fleet.
const serviceFieldsPrefix = "\x00services"

// serviceFields encodes the fields of services that the frames of older programs do not have. They are in the name of a
// row at the end of an update, which has no contents of requests. Older programs skip it, since no row of the fleet list
// has that name.
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

package peer

import (
	"math"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/rate"
)

// content encodes a configuration.
func (wrt *writer) content(con config.Content) {
	wrt.count(len(con.Organisations))
	for _, org := range con.Organisations {
		wrt.organisation(org)
	}
	wrt.count(len(con.Keys))
	for _, key := range con.Keys {
		wrt.text(key.Organisation)
		wrt.raw(key.Digest[:])
	}
	wrt.count(len(con.Routes))
	for _, rou := range con.Routes {
		wrt.route(rou)
	}
	wrt.count(len(con.Services))
	for _, svc := range con.Services {
		wrt.text(svc.Name)
		wrt.text(svc.HealthPath)
		wrt.signed(int64(svc.Connections))
	}
	wrt.signed(int64(con.Bounds.HeaderBytes))
	wrt.signed(con.Bounds.BodyBytes)
	wrt.duration(con.Bounds.HeaderTimeout)
	wrt.duration(con.Bounds.IdleTimeout)
}

func (rdr *reader) content() config.Content {
	var con config.Content
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		con.Organisations = append(con.Organisations, rdr.organisation())
	}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		con.Keys = append(con.Keys, config.Key{Organisation: rdr.text(), Digest: rdr.digest()})
	}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		con.Routes = append(con.Routes, rdr.route())
	}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		con.Services = append(con.Services, config.Service{Name: rdr.text(), HealthPath: rdr.text(), Connections: int(rdr.signed())})
	}
	con.Bounds = config.Bounds{
		HeaderBytes: int(rdr.signed()), BodyBytes: rdr.signed(), HeaderTimeout: rdr.duration(), IdleTimeout: rdr.duration(),
	}
	return con
}

func (rdr *reader) digest() config.Digest {
	var dig config.Digest
	if raw := rdr.raw(); rdr.err == nil && len(raw) != len(dig) {
		rdr.err = errMalformed
	} else {
		copy(dig[:], raw)
	}
	return dig
}

// patch encodes a change from one version of the configuration to another.
func (wrt *writer) patch(pat gateway.Patch) {
	wrt.unsigned(pat.Base)
	wrt.unsigned(pat.Version)
	wrt.content(pat.Change.Changed)
	wrt.texts(pat.Change.RemovedOrganisations)
	wrt.count(len(pat.Change.RemovedKeys))
	for _, dig := range pat.Change.RemovedKeys {
		wrt.raw(dig[:])
	}
	wrt.texts(pat.Change.RemovedRoutes)
	wrt.texts(pat.Change.RemovedServices)
}

func (rdr *reader) patch() gateway.Patch {
	pat := gateway.Patch{Base: rdr.unsigned(), Version: rdr.unsigned(), Change: config.Patch{Changed: rdr.content(), RemovedOrganisations: rdr.texts()}}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		pat.Change.RemovedKeys = append(pat.Change.RemovedKeys, rdr.digest())
	}
	pat.Change.RemovedRoutes, pat.Change.RemovedServices = rdr.texts(), rdr.texts()
	return pat
}

func (wrt *writer) organisation(org config.Organisation) {
	wrt.text(org.Name)
	wrt.signed(int64(org.Limit.Rate))
	wrt.signed(int64(org.Limit.Burst))
	wrt.boolean(org.Priority != nil)
	if org.Priority != nil {
		wrt.signed(int64(*org.Priority))
	}
}

func (rdr *reader) organisation() config.Organisation {
	org := config.Organisation{
		Name: rdr.text(), Limit: rate.Limit{Rate: rate.PerSecond(rdr.signed()), Burst: rate.Tokens(rdr.signed())},
	}
	if rdr.boolean() {
		pri := config.Priority(rdr.signed())
		org.Priority = &pri
	}
	return org
}

func (wrt *writer) route(rou config.Route) {
	wrt.text(rou.Name)
	wrt.text(rou.Host)
	wrt.text(rou.PathPrefix)
	wrt.text(string(rou.Access))
	wrt.text(rou.Service)
	wrt.count(len(rou.Split))
	for _, sha := range rou.Split {
		wrt.text(sha.Service)
		wrt.unsigned(math.Float64bits(sha.Weight))
	}
	wrt.boolean(rou.Idempotent)
	wrt.duration(rou.Timeout)
	wrt.duration(rou.LatencyGoal)
	wrt.signed(int64(rou.Priority))
	wrt.signed(int64(rou.MaxAttempts))
}

func (rdr *reader) route() config.Route {
	rou := config.Route{
		Name: rdr.text(), Host: rdr.text(), PathPrefix: rdr.text(), Access: config.Access(rdr.text()), Service: rdr.text(),
	}
	for cnt := rdr.count(); cnt > 0 && rdr.err == nil; cnt-- {
		rou.Split = append(rou.Split, config.Share{Service: rdr.text(), Weight: math.Float64frombits(rdr.unsigned())})
	}
	rou.Idempotent = rdr.boolean()
	rou.Timeout, rou.LatencyGoal = rdr.duration(), rdr.duration()
	rou.Priority, rou.MaxAttempts = config.Priority(rdr.signed()), int(rdr.signed())
	return rou
}

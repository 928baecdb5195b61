package runner

import "time"

// writeShare is the share of requests that are not idempotent.
const writeShare = 0.3

// Load sends requests of every organisation to every service, at random, at a
// part of the capacity of all slots, until a time.
func (fle *Fleet) Load(load float64, until time.Duration) {
	for _, svc := range fle.dep.Services {
		for _, org := range fle.dep.Organisations {
			fle.Stream(org.Name, svc.Name, fle.dep.Capacity(svc)*load*org.Share, until)
		}
	}
}

// Stream sends the requests of one organisation to one service, perSecond on
// average with exponential gaps, until a time.
func (fle *Fleet) Stream(organisation, service string, perSecond float64, until time.Duration) {
	if perSecond <= 0 {
		return
	}
	var next func()
	next = func() {
		if fle.now >= until {
			return
		}
		fle.Send(organisation, service, fle.rnd.Float64() >= writeShare)
		fle.After(time.Duration(fle.rnd.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	fle.After(time.Duration(fle.rnd.ExpFloat64()/perSecond*float64(time.Second)), next)
}

package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

// inheritAnnounced lets the registered run of a target have what was filed under another run, if that may be
// its own.
func (mac *Machine) inheritAnnounced(now clock.Instant, from health.Run) {
	ent, registered := mac.registry.Entry(from.Target)
	if !registered || ent.Born.IsZero() {
		return
	}
	run := ent.Run(from.Target)
	if run != from && mac.book.Inherit(now, run, from, mac.startOf(now, run)) {
		mac.log("announcementInherited", "target", run.Target, "born", run.Born, "limit", mac.book.Limit(run).String(), "leaving", mac.book.Leaving(run),
			"paused", mac.book.Paused(now, run))
	}
}

// maxRunAge bounds how long ago a run is taken to have started.
const maxRunAge = 24 * time.Hour

// startOf returns when a run started, by the time of day of this VM.
func (mac *Machine) startOf(now clock.Instant, run health.Run) clock.Instant {
	if mac.wall.IsZero() {
		return now
	}
	age := mac.wall.Add(now.Since(mac.wallReadAt)).Sub(time.UnixMilli(run.Born))
	return now.Add(-min(max(age, -maxRunAge), maxRunAge))
}

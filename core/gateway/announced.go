package gateway

import (
	"marigoldlug.example/core/announcement"
)

// heard logs what a target announces in a response, if that differs from its response before.
func (mac *Machine) heard(att *attempt, ann announcement.Announcement) {
	run := announcement.RunOf(att.target)
	before := mac.announced[run]
	if ann == before {
		return
	}
	mac.announced[run] = ann
	mac.log("announced", "target", run.Target, "born", run.Born, "limit", ann.Limit.String(), "leaving", ann.Leaving, "retryAfter", ann.RetryAfter,
		"unreadable", ann.Unreadable, "limitBefore", before.Limit.String())
}

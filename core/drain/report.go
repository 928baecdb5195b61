package drain

import (
	"cmp"
	"maps"
	"slices"

	"marigoldlug.example/core/clock"
)

// Report returns what other VMs must know. It must not be sent unless Known.
func (bok *Book) Report(now clock.Instant) Report {
	rep := Report{Revision: bok.shown.Revision()}
	for _, domain := range slices.Sorted(maps.Keys(bok.drains)) {
		sta := bok.drains[domain]
		if !sta.retained() {
			rep.Shown = append(rep.Shown, domain)
			continue
		}
		rep.Retained = append(rep.Retained, Retained{Domain: domain, Left: max(sta.until.Mono-now.Mono, 0)})
	}
	return rep
}

// Domains returns the drained failure domains, sorted by their names.
func (bok *Book) Domains() []Domain {
	out := make([]Domain, 0, len(bok.drains))
	for domain, sta := range bok.drains {
		out = append(out, Domain{Name: domain, Since: sta.since, Retained: sta.retained()})
	}
	slices.SortFunc(out, func(one, two Domain) int { return cmp.Compare(one.Name, two.Name) })
	return out
}

// TakeChanges returns the changes since the last call and forgets them, sorted by domain; of several of one domain, in
// their order.
func (bok *Book) TakeChanges() []Change {
	out := bok.changes
	bok.changes = nil
	slices.SortStableFunc(out, func(one, two Change) int { return cmp.Compare(one.Domain, two.Domain) })
	return out
}

package config

import (
	"bytes"
	"cmp"
	"reflect"
	"slices"
)

// Patch holds the differences between two contents, so that a change of few objects can be sent
// without the others.
type Patch struct {
	// Changed has the objects that were added or changed, and the new bounds.
	Changed Content
	// RemovedOrganisations, RemovedKeys, RemovedRoutes and RemovedServices identify the objects
	// that were removed.
	RemovedOrganisations []string
	RemovedKeys          []Digest
	RemovedRoutes        []string
	RemovedServices      []string
}

// Diff returns the patch that turns before into after.
func Diff(before, after Content) Patch {
	pat := Patch{Changed: Content{Bounds: after.Bounds}}
	pat.Changed.Organisations, pat.RemovedOrganisations = diff(before.Organisations, after.Organisations, nameOfOrganisation)
	pat.Changed.Keys, pat.RemovedKeys = diff(before.Keys, after.Keys, digestOfKey)
	pat.Changed.Routes, pat.RemovedRoutes = diff(before.Routes, after.Routes, nameOfRoute)
	pat.Changed.Services, pat.RemovedServices = diff(before.Services, after.Services, nameOfService)
	return pat
}

// With returns the content with a patch applied to it.
func (con Content) With(pat Patch) Content {
	return Content{
		Organisations: merge(con.Organisations, pat.Changed.Organisations, pat.RemovedOrganisations, nameOfOrganisation, cmp.Compare[string]),
		Keys: merge(con.Keys, pat.Changed.Keys, pat.RemovedKeys, digestOfKey, func(one, two Digest) int {
			return bytes.Compare(one[:], two[:])
		}),
		Routes:   merge(con.Routes, pat.Changed.Routes, pat.RemovedRoutes, nameOfRoute, cmp.Compare[string]),
		Services: merge(con.Services, pat.Changed.Services, pat.RemovedServices, nameOfService, cmp.Compare[string]),
		Bounds:   pat.Changed.Bounds,
	}
}

func nameOfOrganisation(org Organisation) string { return org.Name }
func digestOfKey(key Key) Digest                 { return key.Digest }
func nameOfRoute(rou Route) string               { return rou.Name }
func nameOfService(svc Service) string           { return svc.Name }

func diff[T any, K comparable](before, after []T, key func(obj T) K) (changed []T, removed []K) {
	old := make(map[K]T, len(before))
	for _, obj := range before {
		old[key(obj)] = obj
	}
	for _, obj := range after {
		was, found := old[key(obj)]
		if !found || !reflect.DeepEqual(was, obj) {
			changed = append(changed, obj)
		}
		delete(old, key(obj))
	}
	for _, obj := range before {
		if _, left := old[key(obj)]; left {
			removed = append(removed, key(obj))
		}
	}
	return changed, removed
}

func merge[T any, K comparable](before, changed []T, removed []K, key func(obj T) K, compare func(one, two K) int) []T {
	drop := make(map[K]bool, len(changed)+len(removed))
	for _, obj := range changed {
		drop[key(obj)] = true
	}
	for _, name := range removed {
		drop[name] = true
	}
	out := make([]T, 0, len(before)+len(changed))
	for _, obj := range before {
		if !drop[key(obj)] {
			out = append(out, obj)
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, func(one, two T) int { return compare(key(one), key(two)) })
	return out
}

package note

import (
	"maps"
	"slices"

	"marigoldlug.example/core/config"
)

// Difference is one field that differs between two configurations.
type Difference struct {
	// Object is the kind and the ID of the object, joined by a slash.
	Object string
	Field  string
	// Before is empty for an object that was added.
	Before string
	// After is empty for an object that was withdrawn.
	After string
}

// Diff returns every field in which the objects of two configurations differ.
func Diff(before, after config.Content) []Difference {
	one, two := newObjects(before), newObjects(after)
	var out []Difference
	out = appendDiff(out, organisationKind, one.organisations, two.organisations)
	out = appendDiff(out, keyKind, one.keys, two.keys)
	out = appendDiff(out, routeKind, one.routes, two.routes)
	return appendDiff(out, serviceKind, one.services, two.services)
}

func appendDiff[T any](out []Difference, knd kind[T], before, after map[string]T) []Difference {
	ids := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(after))
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		objBefore, inBefore := before[id]
		objAfter, inAfter := after[id]
		for _, fld := range knd.fields {
			dif := Difference{Object: knd.name + "/" + id, Field: fld.name}
			if inBefore {
				dif.Before = fld.format(objBefore)
			}
			if inAfter {
				dif.After = fld.format(objAfter)
			}
			if dif.Before != dif.After {
				out = append(out, dif)
			}
		}
	}
	return out
}

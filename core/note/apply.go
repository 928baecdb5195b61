package note

import (
	"maps"
	"slices"

	"marigoldlug.example/core/config"
)

// objects has the objects of a configuration by ID, for editing.
type objects struct {
	organisations map[string]config.Organisation
	keys          map[string]config.Key
	routes        map[string]config.Route
	services      map[string]config.Service
}

func index[T any](knd kind[T], objs []T) map[string]T {
	out := make(map[string]T, len(objs))
	for _, obj := range objs {
		out[knd.id(obj)] = obj
	}
	return out
}

func newObjects(con config.Content) objects {
	return objects{
		organisations: index(organisationKind, con.Organisations),
		keys:          index(keyKind, con.Keys),
		routes:        index(routeKind, con.Routes),
		services:      index(serviceKind, con.Services),
	}
}

func sortedValues[T any](objs map[string]T) []T {
	out := make([]T, 0, len(objs))
	for _, id := range slices.Sorted(maps.Keys(objs)) {
		out = append(out, objs[id])
	}
	return out
}

func (obs objects) content() config.Content {
	return config.Content{
		Organisations: sortedValues(obs.organisations),
		Keys:          sortedValues(obs.keys),
		Routes:        sortedValues(obs.routes),
		Services:      sortedValues(obs.services),
	}
}

// Apply returns the current configuration with the changes of the note. base is the
// configuration at version nte.Base. The error is a *ConflictError if the note sets a field that
// another release has changed since base, and otherwise a ValidationError if the note does not
// fit the configuration.
func (nte *Note) Apply(base, current config.Content, currentVersion uint64) (config.Content, error) {
	app := &applier{base: newObjects(base), current: newObjects(current)}
	app.run(nte)
	if len(app.conflicts) > 0 {
		return config.Content{}, &ConflictError{Base: nte.Base, Current: currentVersion, Conflicts: app.conflicts}
	}
	app.errs = append(app.errs, app.newReferenceErrors(current)...)
	if len(app.errs) > 0 {
		return config.Content{}, app.errs
	}
	next := app.current.content()
	next.Bounds = current.Bounds
	return next, nil
}

// applier collects the errors and conflicts while a note is applied to current.
type applier struct {
	base      objects
	current   objects
	errs      ValidationError
	conflicts []Conflict
}

func (app *applier) run(nte *Note) {
	edit(app, organisationKind, nte.added.organisations, nte.changed.organisations, nte.withdrawn.organisations, app.base.organisations, app.current.organisations)
	edit(app, keyKind, nte.added.keys, nte.changed.keys, nte.withdrawn.keys, app.base.keys, app.current.keys)
	edit(app, routeKind, nte.added.routes, nte.changed.routes, nte.withdrawn.routes, app.base.routes, app.current.routes)
	edit(app, serviceKind, nte.added.services, nte.changed.services, nte.withdrawn.services, app.base.services, app.current.services)
}

// edit applies the additions, changes and withdrawals of one kind of object to current.
func edit[T any](app *applier, knd kind[T], added, changed []patch[T], withdrawn []string, base, current map[string]T) {
	touched := make(map[string]bool)
	for _, pat := range added {
		touched[pat.id] = true
		if _, found := current[pat.id]; found {
			app.addError(pat.line, knd.name, pat.id, "exists already")
			continue
		}
		current[pat.id] = pat.value
	}
	for _, pat := range changed {
		obj, found := current[pat.id]
		if !found || touched[pat.id] {
			app.addError(pat.line, knd.name, pat.id, "does not exist or is added by the same note")
			continue
		}
		touched[pat.id] = true
		app.addConflicts(knd.name+"/"+pat.id, findConflicts(knd, pat.fields, base[pat.id], obj, pat.apply(obj)))
		current[pat.id] = pat.apply(obj)
	}
	for _, id := range withdrawn {
		obj, found := current[id]
		if !found || touched[id] {
			app.addError(0, knd.name, id, "does not exist or is added or changed by the same note")
			continue
		}
		// Every change since base conflicts with a withdrawal, unless it set the field to its
		// default, which is what a withdrawn object is taken to have.
		app.addConflicts(knd.name+"/"+id, findConflicts(knd, nil, base[id], obj, knd.defaults))
		delete(current, id)
	}
}

// findConflicts compares the fields in names, or all fields if names is nil. It returns those
// that differ between base and current and that the note would not leave at their current
// value.
func findConflicts[T any](knd kind[T], names []string, base, current, next T) []Conflict {
	var out []Conflict
	for _, fld := range knd.fields {
		if names != nil && !slices.Contains(names, fld.name) {
			continue
		}
		baseVal, currentVal := fld.format(base), fld.format(current)
		if baseVal != currentVal && fld.format(next) != currentVal {
			out = append(out, Conflict{Field: fld.name, Base: baseVal, Current: currentVal})
		}
	}
	return out
}

func (app *applier) addConflicts(object string, cons []Conflict) {
	for _, con := range cons {
		con.Object = object
		app.conflicts = append(app.conflicts, con)
	}
}

func (app *applier) addError(line int, kindName, id, message string) {
	app.errs = append(app.errs, FieldError{Line: line, Field: kindName + "/" + id, Message: message})
}

// newReferenceErrors returns the errors of the objects together that current does not have without the note. The stored
// configuration may have some, because not all of it could be read; a note that has nothing to do with them can be applied.
func (app *applier) newReferenceErrors(current config.Content) ValidationError {
	before := &applier{current: newObjects(current)}
	before.checkReferences()
	after := &applier{current: app.current}
	after.checkReferences()
	return slices.DeleteFunc(after.errs, func(fie FieldError) bool { return slices.Contains(before.errs, fie) })
}

func (app *applier) checkReferences() {
	for _, key := range sortedValues(app.current.keys) {
		if _, found := app.current.organisations[key.Organisation]; !found {
			app.addError(0, keyKind.name, key.ID(), "belongs to organisation "+key.Organisation+", which does not exist")
		}
	}
	app.checkRoutes()
	app.checkSecrets()
}

func (app *applier) checkRoutes() {
	seen := make(map[string]string)
	for _, rou := range sortedValues(app.current.routes) {
		if (rou.Service == "") == (len(rou.Split) == 0) {
			app.addError(0, routeKind.name, rou.Name, "must have either a service or a split among services")
		}
		if rou.LargeResponses && !rou.Idempotent {
			app.addError(0, routeKind.name, rou.Name, "has large responses, so that it must be idempotent")
		}
		for _, svc := range servicesOf(rou) {
			if _, found := app.current.services[svc]; !found {
				app.addError(0, routeKind.name, rou.Name, "refers to service "+svc+", which does not exist")
			}
		}
		match := rou.Host + rou.PathPrefix
		if other, dup := seen[match]; dup {
			app.addError(0, routeKind.name, rou.Name, "matches the same requests as route "+other)
		}
		seen[match] = rou.Name
	}
}

// servicesOf returns the services to which a route sends requests.
func servicesOf(rou config.Route) []string {
	var out []string
	if rou.Service != "" {
		out = append(out, rou.Service)
	}
	for _, sha := range rou.Split {
		out = append(out, sha.Service)
	}
	return out
}

func (app *applier) checkSecrets() {
	seen := make(map[config.Digest]string)
	for _, key := range sortedValues(app.current.keys) {
		if other, dup := seen[key.Digest]; dup {
			app.addError(0, keyKind.name, key.ID(), "has the same secret as key "+other)
		}
		seen[key.Digest] = key.ID()
	}
}

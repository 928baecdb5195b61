package note

import (
	"fmt"
	"strconv"
	"strings"

	"marigoldlug.example/core/config"
)

// mappingFields are the fields whose values are YAML mappings.
var mappingFields = map[string]bool{"split": true}

// Render returns a configuration in the format of the added section of a release note.
func Render(con config.Content) string {
	obs := newObjects(con)
	var bld strings.Builder
	bld.WriteString("added:\n")
	render(&bld, organisationKind, sortedValues(obs.organisations))
	render(&bld, keyKind, sortedValues(obs.keys))
	render(&bld, serviceKind, sortedValues(obs.services))
	render(&bld, routeKind, sortedValues(obs.routes))
	return bld.String()
}

func render[T any](bld *strings.Builder, knd kind[T], objs []T) {
	if len(objs) == 0 {
		return
	}
	fmt.Fprintf(bld, "  %s:\n", knd.name)
	for _, obj := range objs {
		var parts []string
		for _, fld := range knd.fields {
			val := strconv.Quote(fld.format(obj))
			if fld.format(obj) == "" && !fld.required {
				continue
			}
			if mappingFields[fld.name] {
				val = "{" + fld.format(obj) + "}"
			}
			parts = append(parts, fld.name+": "+val)
		}
		fmt.Fprintf(bld, "    - {%s}\n", strings.Join(parts, ", "))
	}
}

// AddKeyNote returns a release note that adds one key.
func AddKeyNote(release string, base uint64, key config.Key) string {
	return fmt.Sprintf("release: %q\nbase: %d\nadded:\n  keys: [{organisation: %q, secret: %q}]\n", release, base, key.Organisation, key.Secret)
}

// WithdrawKeyNote returns a release note that withdraws one key.
func WithdrawKeyNote(release string, base uint64, id string) string {
	return fmt.Sprintf("release: %q\nbase: %d\nwithdrawn:\n  keys: [%q]\n", release, base, id)
}

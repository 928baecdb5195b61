// Package issue records what a VM or a tool could not understand of the objects in the store.
package issue

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Issue is a field or word of an object that was unknown, missing or mistyped.
type Issue struct {
	// Object is the entry that has the field, such as "routes/read"; empty if it is the whole object.
	Object string
	// Field is the name of the field; empty if the whole entry could not be read.
	Field string
	// Found describes what the field held. It reveals no secret and is at most maxFound bytes long.
	Found string
	// Assumed says what holds instead.
	Assumed string
}

// String returns the issue in one line.
func (iss Issue) String() string {
	return fmt.Sprintf("%s: found %s; assumed: %s", iss.Path(), iss.Found, iss.Assumed)
}

// Path returns the entry and the field, joined by a dot.
func (iss Issue) Path() string { return strings.Trim(iss.Object+"."+iss.Field, ".") }

const (
	// maxFound bounds Issue.Found, which anyone who writes to the store can make long.
	maxFound = 80
	// maxReportsPerField bounds the reports about one field of one kind of object: if a new field appears in the
	// entries of all targets, a few of them tell as much as all.
	maxReportsPerField = 8
)

// Shorten cuts a text to the length that Issue.Found may have.
func Shorten(txt string) string {
	if len(txt) <= maxFound {
		return txt
	}
	return strings.ToValidUTF8(txt[:maxFound-len("...")], "") + "..."
}

// Book holds the issues of the objects that were read last, and decides which of them are to be reported.
// It is not safe for concurrent use.
type Book struct {
	objects map[string]map[string]record
	// reports counts the reports about a field of a kind of object since the last change of version.
	reports map[field]int
}

// record is what is known of one object.
type record struct {
	version uint64
	issues  []Issue
}

// field is a field of a kind of object, and what is assumed for it.
type field struct {
	kind, name, assumed string
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{objects: make(map[string]map[string]record), reports: make(map[field]int)}
}

// Set records the issues of an object at a version, and returns those to report: each is reported once for each
// version of its object. The version is 0 for objects that are written again without a change.
func (boo *Book) Set(kind, name string, version uint64, iss []Issue) []Issue {
	before, found := boo.objects[kind][name]
	if found && before.version != version {
		maps.DeleteFunc(boo.reports, func(fld field, _ int) bool { return fld.kind == kind })
	}
	if len(iss) == 0 {
		delete(boo.objects[kind], name)
		return nil
	}
	if boo.objects[kind] == nil {
		boo.objects[kind] = make(map[string]record)
	}
	boo.objects[kind][name] = record{version: version, issues: iss}
	var out []Issue
	for _, one := range iss {
		if before.version == version && slices.ContainsFunc(before.issues, one.sameAs) {
			continue
		}
		fld := field{kind: kind, name: one.Object + "." + one.Field, assumed: one.Assumed}
		if boo.reports[fld]++; boo.reports[fld] <= maxReportsPerField {
			out = append(out, one)
		}
	}
	return out
}

// sameAs reports whether two issues of one object are about the same field. What was found may differ: a heartbeat
// may change it.
func (iss Issue) sameAs(other Issue) bool {
	return iss.Object == other.Object && iss.Field == other.Field && iss.Assumed == other.Assumed
}

// Remove forgets the issues of an object that no longer exists.
func (boo *Book) Remove(kind, name string) { delete(boo.objects[kind], name) }

// Retain forgets the issues of the objects of a kind that are not among names.
func (boo *Book) Retain(kind string, names map[string]bool) {
	maps.DeleteFunc(boo.objects[kind], func(name string, _ record) bool { return !names[name] })
}

// Count returns the number of issues.
func (boo *Book) Count() int {
	sum := 0
	for _, recs := range boo.objects {
		for _, rec := range recs {
			sum += len(rec.issues)
		}
	}
	return sum
}

// Package note reads release notes, in which operators list the objects of a configuration to
// add, change and withdraw. It checks a note and applies it to a configuration.
package note

import (
	"fmt"
	"strings"
)

// FieldError is an error in one field of a note.
type FieldError struct {
	// Line is 1-based; 0 means that the error does not belong to a single line.
	Line int
	// Field is the path of the field in the note, or the kind and the ID of an object.
	Field   string
	Message string
}

// ValidationError lists every error found in a note, in the order in which they were found.
type ValidationError []FieldError

// Error returns all errors, one per line.
func (val ValidationError) Error() string {
	lines := make([]string, 0, len(val))
	for _, fie := range val {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", fie.Line, fie.Field, fie.Message))
	}
	return strings.Join(lines, "\n")
}

// Conflict is a field that the note sets and that another release has changed since the version
// on which the note is based. Base and Current are its values at that version and now.
type Conflict struct {
	Object  string
	Field   string
	Base    string
	Current string
}

// ConflictError lists every conflict between a note and the releases since its base version.
// Base and Current are versions of the configuration.
type ConflictError struct {
	Base      uint64
	Current   uint64
	Conflicts []Conflict
}

// Error returns each field in conflict with its values at the base version and the current one.
func (err *ConflictError) Error() string {
	parts := make([]string, 0, len(err.Conflicts))
	for _, con := range err.Conflicts {
		parts = append(parts, fmt.Sprintf("%s.%s was %q at version %d and is %q at version %d",
			con.Object, con.Field, con.Base, err.Base, con.Current, err.Current))
	}
	return "release conflicts with later ones: " + strings.Join(parts, "; ")
}

// Package note reads the release note in which operators list what is added,
// changed and withdrawn, checks it and applies it to a configuration.
package note

import (
	"fmt"
	"strings"
)

// FieldError is one error in a note.
type FieldError struct {
	// Line is 1-based; 0 means that the fault has no single line.
	Line    int
	Field   string
	Message string
}

// ValidationError lists every error found in a note, in the order of the lines.
type ValidationError []FieldError

// Error returns all faults, one a line.
func (val ValidationError) Error() string {
	lines := make([]string, 0, len(val))
	for _, fie := range val {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", fie.Line, fie.Field, fie.Message))
	}
	return strings.Join(lines, "\n")
}

// Conflict names a field that the note sets and that another release has
// changed since the version on which the note is based.
type Conflict struct {
	Object  string
	Field   string
	Base    string
	Current string
}

// ConflictError lists every conflict between a note and later releases.
type ConflictError struct {
	Base      uint64
	Current   uint64
	Conflicts []Conflict
}

// Error names each field in conflict.
func (err *ConflictError) Error() string {
	parts := make([]string, 0, len(err.Conflicts))
	for _, con := range err.Conflicts {
		parts = append(parts, fmt.Sprintf("%s.%s was %q at version %d and is %q at version %d",
			con.Object, con.Field, con.Base, err.Base, con.Current, err.Current))
	}
	return "release conflicts with later ones: " + strings.Join(parts, "; ")
}

// Package note reads the release note in which operators list what is added,
// changed and withdrawn, checks it and applies it to a configuration.
package note

import (
	"fmt"
	"strings"
)

// Fault is one error in a note.
type Fault struct {
	// Line is 1-based; 0 means that the fault has no single line.
	Line    int
	Field   string
	Message string
}

// FaultsError lists every error found in a note, in the order of the lines.
type FaultsError []Fault

// Error returns all faults, one a line.
func (fls FaultsError) Error() string {
	lines := make([]string, 0, len(fls))
	for _, flt := range fls {
		lines = append(lines, fmt.Sprintf("line %d: %s: %s", flt.Line, flt.Field, flt.Message))
	}
	return strings.Join(lines, "\n")
}

// Conflict names a field that the note sets and that another release has
// changed since the version on which the note is based.
type Conflict struct {
	Object string
	Field  string
	Base   string
	Now    string
}

// ConflictError lists every conflict between a note and later releases.
type ConflictError struct {
	Base      uint64
	Now       uint64
	Conflicts []Conflict
}

// Error names each field in conflict.
func (err *ConflictError) Error() string {
	parts := make([]string, 0, len(err.Conflicts))
	for _, con := range err.Conflicts {
		parts = append(parts, fmt.Sprintf("%s.%s was %q at version %d and is %q at version %d",
			con.Object, con.Field, con.Base, err.Base, con.Now, err.Now))
	}
	return "release conflicts with later ones: " + strings.Join(parts, "; ")
}

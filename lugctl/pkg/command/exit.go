package command

import (
	"errors"

	"marigoldlug.example/core/note"
	"marigoldlug.example/lugctl/pkg/client"
	"marigoldlug.example/lugctl/pkg/release"
)

// The exit codes of lugctl. Release check has two of its own, for a note with errors and, with --strict, for one with new
// warnings.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitNotInForce  = 6

	exitNoteErrors   = 1
	exitNoteWarnings = 2
)

var (
	// errNotInForce is returned if a release is stored but was not reported in force on
	// every VM within the time set by --wait.
	errNotInForce = errors.New("the release is stored but not yet in force on every VM")
	errNotFound   = errors.New("the logs have no line about the request")
)

// usageError is a mistake in the command line.
type usageError struct{ message string }

func (err *usageError) Error() string { return err.message }

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var usage *usageError
	var invalid note.ValidationError
	var conflict *note.ConflictError
	var unreachable *client.UnreachableError
	var findings *findingsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &findings) && findings.errors > 0:
		return exitNoteErrors
	case errors.As(err, &findings):
		return exitNoteWarnings
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, release.ErrBaseLost):
		return ExitConflict
	case errors.As(err, &invalid), errors.Is(err, release.ErrNoRelease), errors.Is(err, ErrNotQuarantined), errors.Is(err, ErrNotDrained):
		return ExitInvalid
	case errors.As(err, &conflict), errors.Is(err, release.ErrIDReused), errors.Is(err, release.ErrConcurrentChange):
		return ExitConflict
	case errors.As(err, &unreachable):
		return ExitUnavailable
	}
	return ExitFailure
}

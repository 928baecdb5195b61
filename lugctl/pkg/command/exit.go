package command

import (
	"errors"

	"marigoldlug.example/lugctl/pkg/client"
	"marigoldlug.example/lugd/service/api"
)

// The exit codes of lugctl.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitFaults      = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitNotInForce  = 6
)

// errNotInForce is returned when a release is written but was not seen in
// force on every VM within the time to wait.
var errNotInForce = errors.New("the release is written but not yet in force on every VM")

// usageError is a mistake in the command line.
type usageError struct{ message string }

func (err *usageError) Error() string { return err.message }

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var usage *usageError
	var fail *api.Error
	var unreachable *client.UnreachableError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &fail):
		return exitCodeOf(fail.Code)
	}
	return ExitFailure
}

func exitCodeOf(code string) int {
	switch code {
	case api.CodeFaults, api.CodeMalformed, api.CodeBase:
		return ExitFaults
	case api.CodeConflict, api.CodeReused:
		return ExitConflict
	case api.CodeUnavailable:
		return ExitUnavailable
	}
	return ExitFailure
}

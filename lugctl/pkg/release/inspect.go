package release

import (
	"context"
	"errors"
	"fmt"
	"slices"

	errs "github.com/juju/errors"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/inspection"
	"marigoldlug.example/core/issue"
	"marigoldlug.example/core/note"
)

// Warning is something suspicious in the configuration that a note makes.
type Warning struct {
	inspection.Finding

	// InForce is set if the current configuration has it, too.
	InForce bool
}

// Inspection is what is known of a note before it is applied.
type Inspection struct {
	// Errors says why the note cannot be applied. The other fields but Issues are then empty.
	Errors      []note.FieldError
	Warnings    []Warning
	Differences []note.Difference
	// Issues lists what could not be understood of the current configuration.
	Issues []issue.Issue
}

// NewWarnings returns the number of warnings that the current configuration does not have.
func (ins Inspection) NewWarnings() int {
	cnt := 0
	for _, one := range ins.Warnings {
		if !one.InForce {
			cnt++
		}
	}
	return cnt
}

// Inspect returns what is wrong or suspicious with a note and what it would change, without applying it. bud is the retry
// budget of the VMs. The error is set if the note could not be compared with what is stored.
func (app *Applier) Inspect(ctx context.Context, doc []byte, bud inspection.Budget) (Inspection, error) {
	nte, err := note.Read(doc)
	if err != nil {
		return inspectError(Inspection{}, err)
	}
	cur, err := app.store.Current(ctx)
	if err != nil {
		return Inspection{}, errs.Annotate(err, "cannot read the configuration")
	}
	ins := Inspection{Issues: cur.Issues}
	next, err := app.applyNote(ctx, nte, cur)
	if err != nil {
		return inspectError(ins, err)
	}
	ins.Warnings, ins.Differences = warnings(cur.Content, next, bud), note.Diff(cur.Content, next)
	return ins, nil
}

func warnings(before, after config.Content, bud inspection.Budget) []Warning {
	known := inspection.Of(before, bud)
	var out []Warning
	for _, fin := range inspection.Of(after, bud) {
		out = append(out, Warning{Finding: fin, InForce: slices.Contains(known, fin)})
	}
	return out
}

// inspectError adds the errors of a note to an inspection, and returns all other errors.
func inspectError(ins Inspection, err error) (Inspection, error) {
	var invalid note.ValidationError
	var conflict *note.ConflictError
	switch {
	case errors.As(err, &invalid):
		ins.Errors = invalid
	case errors.As(err, &conflict):
		for _, con := range conflict.Conflicts {
			message := fmt.Sprintf("was %q at version %d and is %q at version %d", con.Base, conflict.Base, con.Current, conflict.Current)
			ins.Errors = append(ins.Errors, note.FieldError{Field: con.Object + "." + con.Field, Message: message})
		}
	case errors.Is(err, ErrNoRelease):
		ins.Errors = []note.FieldError{{Field: "base", Message: err.Error()}}
	default:
		return ins, err
	}
	return ins, nil
}

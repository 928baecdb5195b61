package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/core/inspection"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugctl/pkg/release"
)

func (cct *commandContext) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "report errors, conflicts, suspicious entries and changes of a note", ArgsUsage: "FILE", Action: cct.run(cct.checkRelease),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "strict", Usage: "exit with 2 if the note brings warnings that the version in force does not have"},
			&cli.FloatFlag{Name: "retry-share", Usage: "the VMs' setting of this name; with retry-extra, finds attempts without a retry budget"},
			&cli.FloatFlag{Name: "retry-extra", Usage: "the VMs' setting of this name; see retry-share"},
		},
	}
}

// findingsError is returned for a note that has errors, or warnings where these are asked for.
type findingsError struct{ errors, warnings int }

func (err *findingsError) Error() string {
	return fmt.Sprintf("the note has %d errors and brings %d warnings", err.errors, err.warnings)
}

// inspectionResult is the JSON output of release check.
type inspectionResult struct {
	Errors        []errorLine   `json:"errors"`
	Warnings      []warningLine `json:"warnings"`
	Differences   []difference  `json:"differences"`
	NotUnderstood []issueLine   `json:"notUnderstood"`
}

// errorLine is an error in a note. Line is 0 if it does not belong to a single one.
type errorLine struct {
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// warningLine is something suspicious. InForce is set if the version in force has it, too.
type warningLine struct {
	Object  string `json:"object"`
	Field   string `json:"field"`
	Message string `json:"message"`
	InForce bool   `json:"inForce"`
}

func (cct *commandContext) checkRelease(ctx context.Context, cmd *cli.Command, prn *printer) error {
	doc, err := readNote(cmd)
	if err != nil {
		return err
	}
	app, err := cct.applier()
	if err != nil {
		return err
	}
	bud := inspection.Budget{
		Known: cmd.IsSet("retry-share") && cmd.IsSet("retry-extra"), Share: cmd.Float("retry-share"), Extra: cmd.Float("retry-extra"),
	}
	ins, err := app.Inspect(ctx, doc, bud)
	if err != nil {
		return err
	}
	if err := printInspection(prn, ins); err != nil {
		return err
	}
	if fresh := ins.NewWarnings(); len(ins.Errors) > 0 || cmd.Bool("strict") && fresh > 0 {
		return &findingsError{errors: len(ins.Errors), warnings: fresh}
	}
	return nil
}

func convertInspection(ins release.Inspection) inspectionResult {
	res := inspectionResult{
		Errors: []errorLine{}, Warnings: []warningLine{}, Differences: convertDifferences(ins.Differences).Differences, NotUnderstood: []issueLine{},
	}
	for _, one := range ins.Errors {
		res.Errors = append(res.Errors, errorLine(one))
	}
	for _, one := range ins.Warnings {
		res.Warnings = append(res.Warnings, warningLine{Object: one.Object, Field: one.Field, Message: one.Message, InForce: one.InForce})
	}
	for _, one := range ins.Issues {
		res.NotUnderstood = append(res.NotUnderstood, issueLine(one))
	}
	return res
}

// printInspection prints a summary, what was found, and each field that the note changes.
func printInspection(prn *printer, ins release.Inspection) error {
	summary := fmt.Sprintf("the note is valid and changes %d fields", len(ins.Differences))
	if len(ins.Errors) > 0 {
		summary = fmt.Sprintf("the note has %d errors", len(ins.Errors))
	}
	if err := prn.print(convertInspection(ins), []string{"RESULT"}, [][]string{{summary}}); err != nil || prn.json {
		return err
	}
	if rows := findingRows(ins); len(rows) > 0 {
		if err := prn.print(nil, []string{"LEVEL", "WHERE", "MESSAGE"}, rows); err != nil {
			return err
		}
	}
	if len(ins.Differences) == 0 {
		return nil
	}
	return prn.print(nil, differenceTitles, differenceRows(ins.Differences))
}

func findingRows(ins release.Inspection) [][]string {
	var rows [][]string
	for _, one := range ins.Errors {
		where := one.Field
		if one.Line > 0 {
			where = fmt.Sprintf("line %d: %s", one.Line, one.Field)
		}
		rows = append(rows, []string{"error", where, one.Message})
	}
	for _, one := range ins.Warnings {
		level := "warning"
		if one.InForce {
			level = "in force"
		}
		rows = append(rows, []string{level, findingPath(one.Finding), one.Message})
	}
	for _, one := range ins.Issues {
		rows = append(rows, []string{"in force", one.Path(), "is not understood: found " + one.Found + "; assumed: " + one.Assumed})
	}
	return rows
}

// findingPath returns the object and the field of a finding, joined by a dot.
func findingPath(fin inspection.Finding) string {
	return strings.TrimSuffix(fin.Object+"."+fin.Field, ".")
}

var differenceTitles = []string{"OBJECT", "FIELD", "BEFORE", "AFTER"}

func differenceRows(difs []note.Difference) [][]string {
	var rows [][]string
	for _, dif := range difs {
		rows = append(rows, []string{dif.Object, dif.Field, dif.Before, dif.After})
	}
	return rows
}

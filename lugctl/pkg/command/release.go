package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/core/issue"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugctl/pkg/client"
	"marigoldlug.example/lugd/service/api"
)

func (cct *commandContext) releaseCommand() *cli.Command {
	return &cli.Command{
		Name:    "release",
		Aliases: []string{"rel"},
		Usage:   "check, apply and follow release notes",
		Commands: []*cli.Command{
			cct.checkCommand(),
			{Name: "diff", Usage: "show every field that a note changes", ArgsUsage: "FILE", Action: cct.run(cct.diffRelease)},
			{Name: "apply", Usage: "apply a note and wait until it is in force", ArgsUsage: "FILE", Action: cct.run(cct.applyRelease)},
			{Name: "status", Usage: "show how many VMs hold a version", ArgsUsage: "VERSION", Action: cct.run(cct.releaseStatus)},
			{Name: "history", Usage: "list the latest releases", Action: cct.run(cct.releaseHistory)},
			{Name: "show", Usage: "print the configuration at a version", ArgsUsage: "VERSION", Action: cct.run(cct.showRelease)},
		},
	}
}

// readNote returns the text of the release note whose file is the argument of cmd.
func readNote(cmd *cli.Command) ([]byte, error) {
	name, err := argument(cmd, "the file of a release note")
	if err != nil {
		return nil, err
	}
	doc, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{message: err.Error()}
	}
	return doc, nil
}

// check returns what the release note named by the argument of cmd would change.
func (cct *commandContext) check(ctx context.Context, cmd *cli.Command) ([]note.Difference, error) {
	doc, err := readNote(cmd)
	if err != nil {
		return nil, err
	}
	app, err := cct.applier()
	if err != nil {
		return nil, err
	}
	return app.Check(ctx, doc)
}

// diffResult is the JSON output of release diff.
type diffResult struct {
	Differences []difference `json:"differences"`
}

type difference struct {
	Object string `json:"object"`
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func convertDifferences(difs []note.Difference) diffResult {
	res := diffResult{Differences: make([]difference, 0, len(difs))}
	for _, dif := range difs {
		res.Differences = append(res.Differences, difference(dif))
	}
	return res
}

func (cct *commandContext) diffRelease(ctx context.Context, cmd *cli.Command, prn *printer) error {
	difs, err := cct.check(ctx, cmd)
	if err != nil {
		return err
	}
	return prn.print(convertDifferences(difs), differenceTitles, differenceRows(difs))
}

func (cct *commandContext) applyRelease(ctx context.Context, cmd *cli.Command, prn *printer) error {
	doc, err := readNote(cmd)
	if err != nil {
		return err
	}
	return cct.applyNote(ctx, prn, doc)
}

// applyNote applies a note, waits until it is in force and prints the state of its
// rollout.
func (cct *commandContext) applyNote(ctx context.Context, prn *printer, doc []byte) error {
	app, err := cct.applier()
	if err != nil {
		return err
	}
	res, err := app.Apply(ctx, doc, cct.operator)
	if err != nil {
		return err
	}
	// Errors of progress output are ignored: a closed terminal must not fail the command.
	for _, one := range res.Warnings {
		_, _ = fmt.Fprintf(cct.progress, "warning: %s: %s\n", findingPath(one), one.Message)
	}
	_, _ = fmt.Fprintf(cct.progress, "version %d: stored\n", res.Version)
	cli, err := cct.client()
	if err != nil {
		return err
	}
	rol, err := cct.waitInForce(ctx, cli, res.Version)
	if perr := printRollout(prn, rol); perr != nil {
		return perr
	}
	return err
}

// waitInForce prints progress until a version is in force on every VM or the time set by
// --wait is over. It returns the last state that was reported. Errors of the VM are
// retried; the last one is part of the error.
func (cct *commandContext) waitInForce(ctx context.Context, cli *client.Client, version uint64) (api.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, cct.wait)
	defer cancel()
	last := api.Rollout{Version: version}
	var failure error
	for {
		rol, err := cli.Rollout(ctx, version)
		if ctx.Err() == nil {
			failure = err
		}
		if err == nil {
			last = rol
			_, _ = fmt.Fprintf(cct.progress, "version %d: held by %d of %d VMs\n", rol.Version, rol.Holding, rol.VMs)
		}
		if last.InForce {
			return last, nil
		}
		select {
		case <-ctx.Done():
			if failure != nil {
				return last, fmt.Errorf("%w: %w", errNotInForce, failure)
			}
			return last, errNotInForce
		case <-time.After(pollInterval):
		}
	}
}

func printRollout(prn *printer, rol api.Rollout) error {
	return prn.print(rol, []string{"VERSION", "IN FORCE", "HOLDING", "VMS", "LAGGING"}, [][]string{{
		strconv.FormatUint(rol.Version, 10), strconv.FormatBool(rol.InForce),
		strconv.Itoa(rol.Holding), strconv.Itoa(rol.VMs), strings.Join(rol.Lagging, ","),
	}})
}

func parseVersion(cmd *cli.Command) (uint64, error) {
	txt, err := argument(cmd, "a version")
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseUint(txt, 10, 63)
	if err != nil {
		return 0, &usageError{message: fmt.Sprintf("%q is not a version", txt)}
	}
	return version, nil
}

func (cct *commandContext) releaseStatus(ctx context.Context, cmd *cli.Command, prn *printer) error {
	version, err := parseVersion(cmd)
	if err != nil {
		return err
	}
	cli, err := cct.client()
	if err != nil {
		return err
	}
	rol, err := cli.Rollout(ctx, version)
	if err != nil {
		return err
	}
	return printRollout(prn, rol)
}

// entry is the JSON output of one release in the history.
type entry struct {
	Version  uint64    `json:"version"`
	ID       string    `json:"id"`
	Operator string    `json:"operator,omitempty"`
	Time     time.Time `json:"time"`
}

func (cct *commandContext) releaseHistory(ctx context.Context, _ *cli.Command, prn *printer) error {
	app, err := cct.applier()
	if err != nil {
		return err
	}
	ens, err := app.History(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	out := make([]entry, 0, len(ens))
	for _, ent := range ens {
		out = append(out, entry{Version: ent.Version, ID: ent.ID, Operator: ent.Operator, Time: ent.Time})
		rows = append(rows, []string{strconv.FormatUint(ent.Version, 10), ent.ID, ent.Operator, ent.Time.Format(time.RFC3339)})
	}
	return prn.print(out, []string{"VERSION", "RELEASE", "OPERATOR", "TIME"}, rows)
}

// document is the JSON output of a configuration in text form.
type document struct {
	Text string `json:"text"`
	// NotUnderstood is empty for versions that are not current.
	NotUnderstood []issueLine `json:"notUnderstood,omitempty"`
}

// issueLine is the JSON output of a part of the configuration that is not understood.
type issueLine struct {
	Object  string `json:"object"`
	Field   string `json:"field"`
	Found   string `json:"found"`
	Assumed string `json:"assumed"`
}

func (cct *commandContext) showRelease(ctx context.Context, cmd *cli.Command, prn *printer) error {
	version, err := parseVersion(cmd)
	if err != nil {
		return err
	}
	app, err := cct.applier()
	if err != nil {
		return err
	}
	txt, iss, err := app.Show(ctx, version)
	if err != nil {
		return err
	}
	return printDocument(prn, txt, iss)
}

// printDocument prints a configuration and what could not be understood of it, in plain text as comments, so that the
// output can be read as a part of a release note.
func printDocument(prn *printer, txt string, iss []issue.Issue) error {
	if prn.json {
		doc := document{Text: txt}
		for _, one := range iss {
			doc.NotUnderstood = append(doc.NotUnderstood, issueLine(one))
		}
		return prn.print(doc, nil, nil)
	}
	for _, one := range iss {
		txt += "# not understood: " + strings.ReplaceAll(one.String(), "\n", " ") + "\n"
	}
	_, err := fmt.Fprint(prn.out, txt)
	return err
}

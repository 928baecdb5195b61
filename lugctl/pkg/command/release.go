package command

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugctl/pkg/client"
	"marigoldlug.example/lugd/service/api"
)

func (ses *session) releaseCommand() *cli.Command {
	return &cli.Command{
		Name:    "release",
		Aliases: []string{"rel"},
		Usage:   "check, apply and follow release notes",
		Commands: []*cli.Command{
			{Name: "check", Usage: "report every fault and conflict of a note", ArgsUsage: "FILE", Action: ses.run(checkRelease)},
			{Name: "diff", Usage: "show every field that a note changes", ArgsUsage: "FILE", Action: ses.run(diffRelease)},
			{Name: "apply", Usage: "apply a note and wait until it is in force", ArgsUsage: "FILE", Action: ses.run(ses.applyRelease)},
			{Name: "status", Usage: "show how far a version has come", ArgsUsage: "VERSION", Action: ses.run(releaseStatus)},
			{Name: "history", Usage: "list the latest releases", Action: ses.run(releaseHistory)},
			{Name: "show", Usage: "print the configuration at a version", ArgsUsage: "VERSION", Action: ses.run(showRelease)},
		},
	}
}

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

func checkRelease(ctx context.Context, cmd *cli.Command, cli *client.Client, prn *printer) error {
	doc, err := readNote(cmd)
	if err != nil {
		return err
	}
	res, err := cli.Check(ctx, doc)
	if err != nil {
		return err
	}
	summary := fmt.Sprintf("the note is sound and changes %d fields", len(res.Differences))
	return prn.print(res, []string{"RESULT"}, [][]string{{summary}})
}

func diffRelease(ctx context.Context, cmd *cli.Command, cli *client.Client, prn *printer) error {
	doc, err := readNote(cmd)
	if err != nil {
		return err
	}
	res, err := cli.Check(ctx, doc)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, dif := range res.Differences {
		rows = append(rows, []string{dif.Object, dif.Field, dif.Before, dif.After})
	}
	return prn.print(res, []string{"OBJECT", "FIELD", "BEFORE", "AFTER"}, rows)
}

func (ses *session) applyRelease(ctx context.Context, cmd *cli.Command, cli *client.Client, prn *printer) error {
	doc, err := readNote(cmd)
	if err != nil {
		return err
	}
	return ses.applyNote(ctx, cli, prn, doc)
}

// applyNote applies a note, waits until it is in force and prints the result.
func (ses *session) applyNote(ctx context.Context, cli *client.Client, prn *printer, doc []byte) error {
	rel, err := cli.Apply(ctx, doc)
	if err != nil {
		return err
	}
	spr, err := ses.follow(ctx, cli, rel.Version)
	if perr := printSpread(prn, spr); perr != nil {
		return perr
	}
	return err
}

// follow reports progress until a version is in force or the wait is over.
func (ses *session) follow(ctx context.Context, cli *client.Client, version uint64) (api.Spread, error) {
	ctx, cancel := context.WithTimeout(ctx, ses.wait)
	defer cancel()
	var last api.Spread
	for {
		spr, err := cli.Spread(ctx, version)
		if err == nil {
			last = spr
			ses.report(spr)
		}
		if last.InForce {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, errNotInForce
		case <-time.After(pollInterval):
		}
	}
}

func (ses *session) report(spr api.Spread) {
	state := "written, spreading"
	if spr.Accepted {
		state = "accepted"
	}
	if spr.InForce {
		state = "in force"
	}
	// Progress is a courtesy; a closed terminal must not fail the command.
	_, _ = fmt.Fprintf(ses.progress, "version %d: %s, held by %d of %d VMs\n", spr.Version, state, spr.Holding, spr.Members)
}

func printSpread(prn *printer, spr api.Spread) error {
	return prn.print(spr, []string{"VERSION", "ACCEPTED", "IN FORCE", "HOLDING", "MEMBERS", "LAGGING"}, [][]string{{
		strconv.FormatUint(spr.Version, 10), strconv.FormatBool(spr.Accepted), strconv.FormatBool(spr.InForce),
		strconv.Itoa(spr.Holding), strconv.Itoa(spr.Members), strings.Join(spr.Lagging, ","),
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

func releaseStatus(ctx context.Context, cmd *cli.Command, cli *client.Client, prn *printer) error {
	version, err := parseVersion(cmd)
	if err != nil {
		return err
	}
	spr, err := cli.Spread(ctx, version)
	if err != nil {
		return err
	}
	return printSpread(prn, spr)
}

func releaseHistory(ctx context.Context, _ *cli.Command, cli *client.Client, prn *printer) error {
	his, err := cli.History(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, rel := range his.Releases {
		rows = append(rows, []string{strconv.FormatUint(rel.Version, 10), rel.ID, rel.Operator, rel.Time.Format(time.RFC3339)})
	}
	return prn.print(his, []string{"VERSION", "RELEASE", "OPERATOR", "TIME"}, rows)
}

func showRelease(ctx context.Context, cmd *cli.Command, cli *client.Client, prn *printer) error {
	version, err := parseVersion(cmd)
	if err != nil {
		return err
	}
	txt, err := cli.Show(ctx, version)
	if err != nil {
		return err
	}
	if prn.json {
		return prn.print(api.Document{Text: txt}, nil, nil)
	}
	_, err = fmt.Fprint(prn.out, txt)
	return err
}

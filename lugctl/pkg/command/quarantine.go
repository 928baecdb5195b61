package command

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugctl/pkg/release"
)

// liftTries is how often a quarantine is lifted anew if the stored object has changed meanwhile.
const liftTries = 5

func (cct *commandContext) quarantineCommand() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "show and release requests that crash their targets",
		Commands: []*cli.Command{
			{Name: "list", Aliases: []string{"ls"}, Usage: "list the contents of requests under which targets have ended, as the VM at --address knows them", Action: cct.run(cct.listQuarantine)},
			{Name: "lift", Usage: "let requests with a content be sent again", ArgsUsage: "CONTENT", Action: cct.run(cct.liftQuarantine)},
		},
	}
}

func (cct *commandContext) listQuarantine(ctx context.Context, _ *cli.Command, prn *printer) error {
	cli, err := cct.client()
	if err != nil {
		return err
	}
	contents, err := cli.Contents(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, con := range contents {
		rows = append(rows, []string{
			con.Content, con.State, strconv.Itoa(con.Ends), strings.Join(con.Targets, ","), fmt.Sprintf("%.0fs", con.LastEndSeconds), strconv.Itoa(con.Trials),
		})
	}
	return prn.print(contents, []string{"CONTENT", "STATE", "ENDS", "TARGETS", "LAST END", "TRIALS"}, rows)
}

// liftedContent is the JSON output of a quarantine that was lifted.
type liftedContent struct {
	Content string `json:"content"`
}

func (cct *commandContext) liftQuarantine(ctx context.Context, cmd *cli.Command, prn *printer) error {
	content, err := argument(cmd, "the fingerprint of the content, as quarantine list shows it")
	if err != nil {
		return err
	}
	sto, err := cct.store()
	if err != nil {
		return err
	}
	for range liftTries {
		err = sto.Lift(ctx, content)
		if !errors.Is(err, release.ErrConcurrentChange) {
			break
		}
	}
	if err != nil {
		return err
	}
	return prn.print(liftedContent{Content: content}, []string{"LIFTED"}, [][]string{{content}})
}

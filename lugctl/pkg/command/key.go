package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugctl/pkg/client"
)

const (
	keyBytes  = 32
	keyPrefix = "lug_"
)

func (ses *session) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "create and withdraw keys",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create a key, apply it and print it once", ArgsUsage: "ID",
				Flags:  []cli.Flag{&cli.StringFlag{Name: "organisation", Usage: "organisation of the key", Required: true}},
				Action: ses.run(ses.createKey),
			},
			{Name: "withdraw", Usage: "withdraw a key and wait until it has stopped working", ArgsUsage: "ID", Action: ses.run(ses.withdrawKey)},
		},
	}
}

func (ses *session) createKey(ctx context.Context, cmd *cli.Command, cli *client.Client, prn *printer) error {
	id, err := argument(cmd, "the ID of the key")
	if err != nil {
		return err
	}
	var raw [keyBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return err
	}
	secret := keyPrefix + hex.EncodeToString(raw[:])
	his, err := cli.History(ctx)
	if err != nil {
		return err
	}
	key := config.Key{ID: id, Organisation: cmd.String("organisation"), Digest: config.DigestOf(secret)}
	// The key itself is shown only here, and before it is applied, so that a
	// key that is written but not yet in force is not lost.
	if _, err := fmt.Fprintln(ses.out, secret); err != nil {
		return err
	}
	return ses.applyNote(ctx, cli, prn, []byte(note.KeyNote(releaseName("key-create", id), his.Version, key)))
}

func (ses *session) withdrawKey(ctx context.Context, cmd *cli.Command, cli *client.Client, prn *printer) error {
	id, err := argument(cmd, "the ID of the key")
	if err != nil {
		return err
	}
	his, err := cli.History(ctx)
	if err != nil {
		return err
	}
	return ses.applyNote(ctx, cli, prn, []byte(note.WithdrawKeyNote(releaseName("key-withdraw", id), his.Version, id)))
}

// releaseName returns a release ID for a change made by one command.
func releaseName(verb, id string) string {
	return fmt.Sprintf("%s-%s-%d", verb, id, time.Now().UnixNano())
}

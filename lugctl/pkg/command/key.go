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
)

const (
	// keyBytes is the number of random bytes in a new key.
	keyBytes  = 32
	keyPrefix = "lug_"
)

func (cct *commandContext) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "create and withdraw keys",
		Commands: []*cli.Command{
			{Name: "create", Usage: "create a key, apply it and print it once", ArgsUsage: "ORGANISATION", Action: cct.run(cct.createKey)},
			{Name: "withdraw", Usage: "withdraw the key with an ID and wait until no VM accepts it", ArgsUsage: "ID", Action: cct.run(cct.withdrawKey)},
		},
	}
}

func (cct *commandContext) createKey(ctx context.Context, cmd *cli.Command, prn *printer) error {
	organisation, err := argument(cmd, "the organisation of the key")
	if err != nil {
		return err
	}
	var raw [keyBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return err
	}
	secret := keyPrefix + hex.EncodeToString(raw[:])
	key := config.Key{Organisation: organisation, Secret: secret, Digest: config.DigestOf(secret)}
	version, err := cct.version(ctx)
	if err != nil {
		return err
	}
	// The secret is printed only here. It is printed before the key is applied, so that
	// it is not lost if the key is stored but not yet in force.
	if err := printKey(prn, key); err != nil {
		return err
	}
	return cct.applyNote(ctx, prn, []byte(note.AddKeyNote(releaseName("key-create", organisation), version, key)))
}

// createdKey is the JSON output of a new key. That of its release follows it.
type createdKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

func printKey(prn *printer, key config.Key) error {
	if prn.json {
		return prn.print(createdKey{ID: key.ID(), Secret: key.Secret}, nil, nil)
	}
	_, err := fmt.Fprintf(prn.out, "%s %s\n", key.ID(), key.Secret)
	return err
}

func (cct *commandContext) withdrawKey(ctx context.Context, cmd *cli.Command, prn *printer) error {
	id, err := argument(cmd, "the ID of the key")
	if err != nil {
		return err
	}
	version, err := cct.version(ctx)
	if err != nil {
		return err
	}
	return cct.applyNote(ctx, prn, []byte(note.WithdrawKeyNote(releaseName("key-withdraw", id), version, id)))
}

// version returns the version of the current configuration.
func (cct *commandContext) version(ctx context.Context) (uint64, error) {
	app, err := cct.applier()
	if err != nil {
		return 0, err
	}
	return app.Version(ctx)
}

// releaseName returns a unique ID for a release whose note a command generates.
func releaseName(verb, id string) string {
	return fmt.Sprintf("%s-%s-%d", verb, id, time.Now().UnixNano())
}
